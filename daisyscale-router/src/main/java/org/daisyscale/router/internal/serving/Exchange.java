package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.router.serving.WireReply;

/**
 * A caller's complete request until its one final response. Its call and reply are passed between duties. Thread-safe.
 */
final class Exchange {
    private final long requestId;
    private final RequestHead head;
    private final String method;
    private final String target;
    private final HttpHeaders headers;
    private final byte[] body;
    private final long arrivedNanos;
    private final Consumer<Outcome> onOutcome;
    private final AtomicBoolean isOver = new AtomicBoolean();
    private final AtomicReference<HttpCall> call = new AtomicReference<>();
    private volatile WireReply reply;
    private volatile String serverId = "";

    Exchange(
            long requestId,
            RequestHead head,
            String method,
            String target,
            HttpHeaders headers,
            byte[] body,
            Consumer<Outcome> onOutcome) {
        this.requestId = requestId;
        this.head = head;
        this.method = method;
        this.target = target;
        this.headers = headers;
        this.body = body;
        this.arrivedNanos = System.nanoTime();
        this.onOutcome = onOutcome;
    }

    long requestId() {
        return requestId;
    }

    RequestHead head() {
        return head;
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    HttpHeaders headers() {
        return headers;
    }

    byte[] body() {
        return body;
    }

    long ageMillis() {
        return (System.nanoTime() - arrivedNanos) / 1_000_000L;
    }

    String serverId() {
        return serverId;
    }

    /** Records that an attempt is sent to {@code newServerId} by {@code newCall}. */
    void startAttempt(String newServerId, HttpCall newCall) {
        serverId = newServerId;
        call.set(newCall);
    }

    HttpCall call() {
        return call.get();
    }

    /** Records the reply to the attempt that ended last. */
    void recordReply(WireReply newReply) {
        reply = newReply;
    }

    WireReply reply() {
        return reply;
    }

    /** Ends the exchange with {@code outcome}; returns false if it had ended before. */
    boolean end(Outcome outcome) {
        boolean isFirst = isOver.compareAndSet(false, true);
        if (isFirst) {
            onOutcome.accept(outcome);
        }
        return isFirst;
    }

    /** The final response to the caller. */
    sealed interface Outcome {

        /** The response of a backend server. */
        record Answered(WireReply reply) implements Outcome {}

        /** A rejection by this router. */
        record Rejected(ServingAction.Reject rejection) implements Outcome {}
    }
}
