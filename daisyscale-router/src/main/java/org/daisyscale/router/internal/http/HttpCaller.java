package org.daisyscale.router.internal.http;

import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.timeout.ReadTimeoutException;
import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import ratpack.exec.ExecController;
import ratpack.exec.Execution;
import ratpack.func.Action;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/**
 * Makes HTTP calls with Ratpack's client on its own event loop and blocks until the complete answer arrives.
 * Thread-safe, but must not be called from an event loop's thread.
 *
 * <pre>{@code
 * try (HttpCaller caller = new HttpCaller(Duration.ofSeconds(1), 1 << 20)) {
 *     HttpReply reply = caller.get(URI.create("http://127.0.0.1:8080/vms"));
 * }
 * }</pre>
 */
public final class HttpCaller implements AutoCloseable {
    private static final int EVENT_LOOPS = 1;
    private static final int POOLED_CONNECTIONS = 8;
    private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(200);

    private final ExecController execController = new ValidatingExecController(EVENT_LOOPS);
    private final Duration timeout;
    private final HttpClient client;

    /** Creates a caller that waits about {@code timeout} for an answer of at most {@code maxBodyBytes} bytes. */
    public HttpCaller(Duration timeout, int maxBodyBytes) {
        this.timeout = timeout;
        this.client = newClient(execController, timeout, maxBodyBytes);
    }

    /**
     * Gets {@code uri}.
     *
     * @throws HttpCallException if no complete answer arrives in time
     */
    public HttpReply get(URI uri) {
        return call(uri, RequestSpec::get);
    }

    /**
     * Posts {@code json} to {@code uri}.
     *
     * @throws HttpCallException if no complete answer arrives in time
     */
    public HttpReply post(URI uri, byte[] json) {
        return call(uri, spec -> fillPost(spec, json));
    }

    /**
     * Posts {@code json} to {@code uri} and passes the chunks of an endless answer to {@code listener}. The answer
     * counts as ended if no chunk arrives for {@code silenceLimit}.
     */
    public HttpStream postStream(URI uri, byte[] json, Duration silenceLimit, HttpStream.Listener listener) {
        HttpStream stream = new HttpStream(listener);
        execController
                .fork()
                .onError(stream::onError)
                .start(execution -> client.requestStream(uri, spec -> {
                            fillPost(spec, json);
                            spec.readTimeout(silenceLimit);
                        })
                        .then(stream::onResponse));
        return stream;
    }

    private HttpReply call(URI uri, Action<RequestSpec> fill) {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        execController
                .fork()
                .onError(reply::completeExceptionally)
                .start((Execution execution) ->
                        client.request(uri, fill).then(response -> reply.complete(toReply(uri, response))));
        return await(uri, reply);
    }

    private HttpReply await(URI uri, CompletableFuture<HttpReply> reply) {
        try {
            return reply.get(timeout.plus(TIMEOUT_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw failure(uri, e.getCause());
        } catch (TimeoutException e) {
            throw new HttpCallException(HttpCallException.Code.NO_ANSWER, uri + " did not answer within " + timeout, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HttpCallException(
                    HttpCallException.Code.NO_ANSWER, uri + ": the calling thread was interrupted", e);
        }
    }

    private static HttpCallException failure(URI uri, Throwable cause) {
        boolean isNotSent = cause instanceof ConnectException;
        HttpCallException.Code code =
                isNotSent ? HttpCallException.Code.NOT_CONNECTED : HttpCallException.Code.NO_ANSWER;
        String reason = cause instanceof ReadTimeoutException ? "time-out" : String.valueOf(cause.getMessage());
        return new HttpCallException(code, uri + ": " + reason, cause);
    }

    private static HttpReply toReply(URI uri, ReceivedResponse response) {
        if (!ResponseRules.isStatus(response.getStatusCode())) {
            String detail = uri + ": status is not from 100 to 599: " + response.getStatusCode();
            throw new HttpCallException(HttpCallException.Code.NO_ANSWER, detail, null);
        }
        return new HttpReply(response.getStatusCode(), response.getBody().getBytes());
    }

    private static void fillPost(RequestSpec spec, byte[] json) throws Exception {
        spec.post().body(body -> body.type(HttpHeaderValues.APPLICATION_JSON).bytes(json));
    }

    private static HttpClient newClient(ExecController controller, Duration timeout, int maxBodyBytes) {
        try {
            return HttpClient.of(spec -> spec.execController(controller)
                    .poolSize(POOLED_CONNECTIONS)
                    .connectTimeout(timeout)
                    .readTimeout(timeout)
                    .maxContentLength(maxBodyBytes));
        } catch (Exception e) {
            throw new HttpCallException(HttpCallException.Code.NOT_CONNECTED, "cannot create an HTTP client", e);
        }
    }

    @Override
    public void close() {
        client.close();
        execController.close();
    }
}
