package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.WireReply;

/** One HTTP call, which ends at most once. Used by the thread of its event loop; any thread may ask what has come. */
public final class HttpCall {
    private final Address address;
    private final FullHttpRequest request;
    private final CallLimit limit;
    private final BiFunction<HttpHeaders, HttpHeaders, AnswerMatch> matcher;
    private final Consumer<End> onEnd;
    private Channel channel;
    private boolean isOver;
    private boolean wasWritten;
    private boolean needsNewConnection;
    private final long startNanos = System.nanoTime();
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile boolean hasBegun;
    private long lastPartNanos;

    /**
     * Creates a call.
     *
     * @param address where it goes
     * @param request what is sent; released with the call
     * @param timeoutMillis the time for a whole answer, in milliseconds
     * @param matcher which request an answer names, from the headers of the request and of the answer
     * @param onEnd gets the end, on the event loop's thread
     */
    public HttpCall(
            Address address,
            FullHttpRequest request,
            long timeoutMillis,
            BiFunction<HttpHeaders, HttpHeaders, AnswerMatch> matcher,
            Consumer<End> onEnd) {
        this(address, request, CallLimit.ofWhole(timeoutMillis), matcher, onEnd);
    }

    /** Creates a call as above whose time is limited by {@code limit}. */
    HttpCall(
            Address address,
            FullHttpRequest request,
            CallLimit limit,
            BiFunction<HttpHeaders, HttpHeaders, AnswerMatch> matcher,
            Consumer<End> onEnd) {
        this.address = address;
        this.request = request;
        this.limit = limit;
        this.matcher = matcher;
        this.onEnd = onEnd;
    }

    Address address() {
        return address;
    }

    FullHttpRequest request() {
        return request;
    }

    AnswerMatch match(HttpHeaders answerHeaders) {
        return matcher.apply(request.headers(), answerHeaders);
    }

    /** The call goes out on a connection of its own, on which no answer to an earlier one can come once more. */
    void needsNewConnection() {
        needsNewConnection = true;
    }

    boolean isNewConnectionNeeded() {
        return needsNewConnection;
    }

    boolean isOver() {
        return isOver;
    }

    /** From now on bytes of the request may leave through {@code newChannel}. */
    void writingTo(Channel newChannel) {
        channel = newChannel;
        wasWritten = true;
    }

    /** A part of the answer has come, with {@code bytes} of its body. */
    void received(int bytes) {
        lastPartNanos = System.nanoTime();
        receivedBytes.addAndGet(bytes);
        hasBegun = true;
    }

    /** Whether a part of the answer has come. */
    boolean hasBegun() {
        return hasBegun;
    }

    /** How much of the answer's body has come, in bytes. */
    long receivedBytes() {
        return receivedBytes.get();
    }

    void end(WireReply reply) {
        endOnce(new End(reply, null, ""));
    }

    void end(Failure failure, String detail) {
        endOnce(new End(null, failure, detail));
    }

    private void endOnce(End end) {
        if (!isOver) {
            isOver = true;
            onEnd.accept(end);
        }
    }

    /** Gives the call up when its time is over, or looks again on {@code loop} when that may be. */
    void watchTime(EventLoop loop) {
        if (isOver) {
            return;
        }
        long leftMillis = limit.leftMillis(millisSince(startNanos), hasBegun, millisSince(lastPartNanos));
        if (leftMillis > 0) {
            loop.schedule(() -> watchTime(loop), leftMillis, TimeUnit.MILLISECONDS);
        } else {
            timeOut();
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000L;
    }

    private void timeOut() {
        String detail =
                "no whole answer within %d ms, %d bytes came".formatted(millisSince(startNanos), receivedBytes());
        end(wasWritten ? Failure.LOST : Failure.NOT_SENT, detail);
        closeChannel();
    }

    void cancel() {
        if (!isOver) {
            isOver = true;
            closeChannel();
        }
    }

    private void closeChannel() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Why a call has no answer. */
    public enum Failure {
        /** No byte left. */
        NOT_SENT,
        /** No byte left, since the port refused the connection. */
        CONNECTION_REFUSED,
        /** No byte left, since the call was bound to a process that can no longer be told from another. */
        UNPROVED,
        /** The connection ended or stayed silent after bytes left. */
        LOST,
        /** What came was no whole answer to this call. */
        SPOILED
    }

    /**
     * How a call ended. Immutable.
     *
     * @param reply the answer; null for a failure
     * @param failure the failure; null for an answer
     * @param detail the circumstances of a failure
     */
    public record End(WireReply reply, Failure failure, String detail) {

        /** Whether there is a whole answer. */
        public boolean isAnswered() {
            return failure == null;
        }
    }
}
