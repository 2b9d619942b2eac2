package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.daisyscale.core.serving.RequestHead;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.router.serving.WireReply;

/**
 * A caller's request, whole, until its one final answer. Its call and answer are handed from duty to duty. Safe for use
 * by several threads.
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
    private final Set<String> triedServers = ConcurrentHashMap.newKeySet();
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

    /** An attempt goes to {@code newServerId}. */
    void attempt(String newServerId, HttpCall newCall) {
        serverId = newServerId;
        triedServers.add(newServerId);
        call.set(newCall);
    }

    /** Whether an attempt went to the server before; its answer may come once more. */
    boolean wasSentTo(String server) {
        return triedServers.contains(server);
    }

    HttpCall call() {
        return call.get();
    }

    /** The answer of the attempt that ended last. */
    void answered(WireReply newReply) {
        reply = newReply;
    }

    WireReply reply() {
        return reply;
    }

    /** Ends the exchange; false when it had ended before. */
    boolean end(Outcome outcome) {
        boolean isFirst = isOver.compareAndSet(false, true);
        if (isFirst) {
            onOutcome.accept(outcome);
        }
        return isFirst;
    }

    /** The final answer. */
    sealed interface Outcome {

        /** The answer of a backend server. */
        record Answered(WireReply reply) implements Outcome {}

        /** An answer of this router. */
        record Refused(ServingAction.Reject refusal) implements Outcome {}
    }
}
