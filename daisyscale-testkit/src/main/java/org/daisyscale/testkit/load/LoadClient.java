package org.daisyscale.testkit.load;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import org.daisyscale.testkit.http.Json;

/** Sends requests as a caller does, and repeats them by a rule. Safe for use by several threads. */
final class LoadClient implements AutoCloseable {
    private static final byte[] NO_BODY = new byte[0];
    private static final int THREADS = 4;

    private final RouterAddresses addresses;
    private final RetryRule retryRule;
    private final HttpSender sender;

    LoadClient(RouterAddresses addresses, RetryRule retryRule, long timeoutMillis) {
        this.addresses = addresses;
        this.retryRule = retryRule;
        this.sender = new HttpSender(THREADS, timeoutMillis);
    }

    /** Sends {@code request} until its last attempt has ended; {@code runStartNanos} is the run's start. */
    CompletableFuture<LoadResult> send(LoadRequest request, long runStartNanos) {
        return attempt(request, List.of()).thenApply(ended -> result(request, ended, runStartNanos));
    }

    private CompletableFuture<Ended> attempt(LoadRequest request, List<AttemptEnd> before) {
        String address = addresses.next(System.nanoTime());
        URI uri = URI.create(address);
        return sender.send(new InetSocketAddress(uri.getHost(), uri.getPort()), httpRequest(uri, request))
                .handle((answer, failure) -> failure == null ? ended(answer, before) : failed(address, failure, before))
                .thenCompose(ended -> repeatOrEnd(request, ended));
    }

    private CompletableFuture<Ended> repeatOrEnd(LoadRequest request, Ended ended) {
        OptionalLong delayMillis =
                retryRule.delayMillisAfter(ended.end(), ended.ends().size());
        if (delayMillis.isEmpty()) {
            return CompletableFuture.completedFuture(ended);
        }
        Executor later = CompletableFuture.delayedExecutor(delayMillis.getAsLong(), TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(ended::ends, later).thenCompose(ends -> attempt(request, ends));
    }

    private static FullHttpRequest httpRequest(URI uri, LoadRequest request) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.kind().method()),
                request.callerPath(),
                Unpooled.wrappedBuffer(request.body()));
        message.headers().set(HttpHeaderNames.HOST, uri.getAuthority());
        message.headers().set("Daisyscale-Caller", "load-program");
        if (request.body().length > 0) {
            HttpUtil.setContentLength(message, request.body().length);
        }
        if (!request.id().isEmpty()) {
            message.headers().set("Idempotency-Key", request.id());
        }
        return message;
    }

    private Ended failed(String address, Throwable failure, List<AttemptEnd> before) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        AttemptEnd end = AttemptEnd.BROKEN_CONNECTION;
        if (cause instanceof ConnectException) {
            addresses.refused(address, System.nanoTime());
            end = AttemptEnd.REFUSED_CONNECTION;
        } else if (cause instanceof TimeoutException) {
            end = AttemptEnd.TIMED_OUT;
        }
        return new Ended(0, "", NO_BODY, append(before, end));
    }

    private static Ended ended(HttpSender.Answer answer, List<AttemptEnd> before) {
        return new Ended(answer.status(), codeOf(answer), answer.body(), append(before, endOf(answer)));
    }

    private static List<AttemptEnd> append(List<AttemptEnd> before, AttemptEnd end) {
        return Stream.concat(before.stream(), Stream.of(end)).toList();
    }

    private static AttemptEnd endOf(HttpSender.Answer answer) {
        String outcome = answer.headers().get("Daisyscale-Outcome", "");
        if (outcome.equals("unknown")) {
            return AttemptEnd.UNKNOWN;
        }
        if (outcome.equals("not-run") || answer.headers().contains("Daisyscale-Not-Run")) {
            return AttemptEnd.NOT_RUN;
        }
        boolean isOfServer = answer.headers().contains("Daisyscale-Order-Id");
        return outcome.equals("answered") || isOfServer ? AttemptEnd.ANSWERED : AttemptEnd.UNLABELLED;
    }

    private static String codeOf(HttpSender.Answer answer) {
        String contentType = answer.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        return contentType.startsWith("application/problem+json")
                ? Json.tree(answer.body()).path("code").asText()
                : "";
    }

    private static LoadResult result(LoadRequest request, Ended ended, long runStartNanos) {
        long latencyNanos = System.nanoTime() - runStartNanos - request.intendedNanos();
        return new LoadResult(request, ended.status(), ended.code(), ended.body(), ended.ends(), latencyNanos);
    }

    @Override
    public void close() {
        sender.close();
    }

    /** How an attempt ended, with those before it. */
    private record Ended(int status, String code, byte[] body, List<AttemptEnd> ends) {

        AttemptEnd end() {
            return ends.get(ends.size() - 1);
        }
    }
}
