package org.daisyscale.router.internal.platform;

import java.net.URI;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.json.JsonCodec;
import org.daisyscale.router.internal.http.HttpCallException;
import org.daisyscale.router.internal.http.HttpCaller;
import org.daisyscale.router.internal.http.HttpReply;
import org.daisyscale.router.internal.http.HttpStream;

/**
 * Calls one of several endpoints of the platform's service and prefers the endpoint that answered last. A call that may
 * already have been sent is retried at another endpoint only when the call is idempotent. Thread-safe.
 */
final class EtcdClient implements AutoCloseable {
    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final List<URI> endpoints;
    private final JsonCodec codec;
    private final HttpCaller caller;
    private volatile int preferred;

    EtcdClient(String urls, JsonCodec codec, Duration timeout) {
        this.endpoints = Arrays.stream(urls.split(","))
                .map(String::strip)
                .map(EtcdClient::endpoint)
                .toList();
        this.codec = codec;
        this.caller = new HttpCaller(timeout, MAX_ANSWER_BYTES);
    }

    /** Makes a call that can safely be retried. */
    <T> T callIdempotent(String path, Object request, Class<T> type) {
        return call(path, request, type, true);
    }

    /** Makes a call that is sent to at most one endpoint. */
    <T> T callAtMostOnce(String path, Object request, Class<T> type) {
        return call(path, request, type, false);
    }

    /** Posts {@code request} to the preferred endpoint and passes its streamed response to {@code listener}. */
    HttpStream stream(String path, Object request, Duration silenceLimit, HttpStream.Listener listener) {
        return caller.postStream(endpoints.get(preferred).resolve(path), codec.write(request), silenceLimit, listener);
    }

    /** Makes the next endpoint the preferred one. */
    void preferNext() {
        preferred = (preferred + 1) % endpoints.size();
    }

    JsonCodec codec() {
        return codec;
    }

    private <T> T call(String path, Object request, Class<T> type, boolean isIdempotent) {
        byte[] body = codec.write(request);
        int first = preferred;
        PlatformException failure = null;
        for (int i = 0; i < endpoints.size(); i++) {
            int index = (first + i) % endpoints.size();
            try {
                T answer = callEndpoint(endpoints.get(index).resolve(path), body, type);
                preferred = index;
                return answer;
            } catch (HttpCallException e) {
                failure = new PlatformException(PlatformErrorCode.UNREACHABLE, e.getMessage(), e);
                if (!isIdempotent && !e.isNotSent()) {
                    break;
                }
            }
        }
        throw failure;
    }

    private <T> T callEndpoint(URI uri, byte[] body, Class<T> type) {
        HttpReply reply = caller.post(uri, body);
        if (reply.status() >= MIN_SERVER_ERROR_STATUS) {
            String detail = "%s: status %d".formatted(uri, reply.status());
            throw new HttpCallException(HttpCallException.Code.NO_ANSWER, detail, null);
        }
        if (!reply.isSuccess()) {
            String detail = "%s: status %d".formatted(uri, reply.status());
            throw new PlatformException(PlatformErrorCode.BAD_ANSWER, detail, null);
        }
        try {
            return codec.read(reply.body(), type);
        } catch (CodecException e) {
            throw new PlatformException(PlatformErrorCode.BAD_ANSWER, uri + ": " + e.getMessage(), e);
        }
    }

    private static URI endpoint(String url) {
        try {
            URI uri = URI.create(url);
            if (uri.getHost() != null && uri.getScheme().startsWith("http")) {
                return uri;
            }
        } catch (IllegalArgumentException e) {
            throw new PlatformException(PlatformErrorCode.BAD_URL, url, e);
        }
        throw new PlatformException(PlatformErrorCode.BAD_URL, url, null);
    }

    @Override
    public void close() {
        caller.close();
    }
}
