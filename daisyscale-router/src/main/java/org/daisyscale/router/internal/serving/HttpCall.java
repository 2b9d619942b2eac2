package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.IntPredicate;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.WireReply;

/**
 * One HTTP call, which ends at most once. Confined to the thread of its event loop, except that any thread may query
 * what has been received.
 */
public final class HttpCall {
    /** Delay of another check while the event loop is behind, in milliseconds, in which it reads what has arrived. */
    private static final long LATE_CHECK_MILLIS = 50;
    /** Limits the additional checks, so that a call ends even if the event loop stays behind. */
    private static final int MAX_LATE_CHECKS = 3;

    /** Stands for the request id of headers that bear none. */
    static final String NO_REQUEST_ID = "";

    private final Address address;
    private final FullHttpRequest request;
    private final CallTimeouts timeouts;
    private final BiFunction<HttpHeaders, HttpHeaders, AnswerMatch> matcher;
    private final Consumer<End> onEnd;
    private Channel channel;
    private boolean isOver;
    private boolean wasWritten;
    private boolean isFirstOnConnection;
    private IntPredicate keepsConnection = status -> true;
    private Optional<Function<HttpHeaders, Optional<String>>> requestIds = Optional.empty();
    private boolean mayFollowNamedResponses;
    private Optional<String> serverId = Optional.empty();
    private boolean hasSendLimit;
    private long sendBeforeNanos;
    private long checkDueNanos;
    private int lateChecks;
    private final long startNanos = System.nanoTime();
    private final AtomicLong receivedBytes = new AtomicLong();
    private volatile boolean hasBegun;
    private long lastReceivedNanos;

    /**
     * Creates a call.
     *
     * @param address the address that the call goes to
     * @param request the request; released with the call
     * @param timeoutMillis the time for the whole response, in milliseconds
     * @param matcher returns which request a response names, from the headers of the request and of the response
     * @param onEnd receives the end of the call, on the thread of the event loop
     */
    public HttpCall(
            Address address,
            FullHttpRequest request,
            long timeoutMillis,
            BiFunction<HttpHeaders, HttpHeaders, AnswerMatch> matcher,
            Consumer<End> onEnd) {
        this(address, request, CallTimeouts.ofTotal(timeoutMillis), matcher, onEnd);
    }

    /** Creates a call as above that is limited by {@code timeouts}. */
    HttpCall(
            Address address,
            FullHttpRequest request,
            CallTimeouts timeouts,
            BiFunction<HttpHeaders, HttpHeaders, AnswerMatch> matcher,
            Consumer<End> onEnd) {
        this.address = address;
        this.request = request;
        this.timeouts = timeouts;
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

    /**
     * Makes the call use a connection on which no copy of an earlier response can be taken for the response to this
     * call: one that has not carried its request id, or, for a call without one, one that has received no response (but
     * see {@link #allowNamedResponsesBefore}). Must be called before the call is started.
     *
     * @param newRequestIds returns the request id from the headers of a request or response
     */
    void identifyBy(Function<HttpHeaders, Optional<String>> newRequestIds) {
        requestIds = Optional.of(newRequestIds);
    }

    /**
     * Lets this call, which has no request id, use a connection that has carried calls with one. For calls that are
     * repeated and whose wrong response does no harm until the next one. Must be called before the call is started.
     */
    void allowNamedResponsesBefore() {
        mayFollowNamedResponses = true;
    }

    boolean mayFollowNamedResponses() {
        return mayFollowNamedResponses;
    }

    /** Records that the call is for the backend server {@code newServerId}. Must be called before it is started. */
    void addressTo(String newServerId) {
        serverId = Optional.of(newServerId);
    }

    /** Returns the id of the backend server that the call is for; empty if it is for none, or not known. */
    Optional<String> serverId() {
        return serverId;
    }

    /** Returns the function of {@link #identifyBy}; empty if copies of earlier responses are not expected. */
    Optional<Function<HttpHeaders, Optional<String>>> requestIds() {
        return requestIds;
    }

    /** Returns the request id that the response to this call bears; empty if copies are not expected. */
    Optional<String> responseName() {
        return requestIds.map(ids -> ids.apply(request.headers()).orElse(NO_REQUEST_ID));
    }

    boolean isOver() {
        return isOver;
    }

    /**
     * Makes the call end as {@link Failure#EXPIRED} unless it is sent before {@code nanos} of the monotonic clock. Must
     * be called before the call is started.
     */
    void expireUnsentAt(long nanos) {
        hasSendLimit = true;
        sendBeforeNanos = nanos;
    }

    /** Returns whether the call may be sent now; ends it if it has waited in this router for too long. */
    boolean maySend() {
        if (!isOver && hasSendLimit && System.nanoTime() - sendBeforeNanos >= 0) {
            end(Failure.EXPIRED, "not sent within %d ms of its start".formatted(millisSince(startNanos)));
        }
        return !isOver;
    }

    /**
     * Makes the connection be closed unless the status of the response is in {@code statuses}. Must be called before
     * the call is started.
     */
    void keepConnectionAfter(IntPredicate statuses) {
        keepsConnection = statuses;
    }

    /** Returns whether the connection may be kept after a response with {@code status}. */
    boolean keepsConnection(int status) {
        return keepsConnection.test(status);
    }

    /**
     * Records that bytes of the request may be sent through {@code newChannel} from now on, which carried no earlier
     * call if {@code isFirst}.
     */
    void markWritten(Channel newChannel, boolean isFirst) {
        channel = newChannel;
        isFirstOnConnection = isFirst;
        wasWritten = true;
    }

    /** Records that a part of the response arrived, with {@code bytes} of its body. */
    void recordReceived(int bytes) {
        lastReceivedNanos = System.nanoTime();
        receivedBytes.addAndGet(bytes);
        hasBegun = true;
    }

    /** Returns the bytes of the response body that have arrived. */
    long receivedBytes() {
        return receivedBytes.get();
    }

    void end(WireReply reply) {
        endOnce(new End(reply, null, "", isFirstOnConnection));
    }

    void end(Failure failure, String detail) {
        endOnce(new End(null, failure, detail, false));
    }

    private void endOnce(End end) {
        if (!isOver) {
            isOver = true;
            onEnd.accept(end);
        }
    }

    /** Ends the call if it has timed out, or else schedules the next check on {@code loop}. */
    void checkTimeout(EventLoop loop) {
        if (isOver) {
            return;
        }
        long leftMillis = timeouts.remainingMillis(millisSince(startNanos), hasBegun, millisSince(lastReceivedNanos));
        if (leftMillis > 0) {
            scheduleCheck(loop, leftMillis);
        } else if (lateChecks < MAX_LATE_CHECKS && isLoopLate()) {
            lateChecks++;
            scheduleCheck(loop, LATE_CHECK_MILLIS);
        } else {
            endTimedOut();
        }
    }

    private void scheduleCheck(EventLoop loop, long delayMillis) {
        checkDueNanos = System.nanoTime() + delayMillis * 1_000_000L;
        loop.schedule(() -> checkTimeout(loop), delayMillis, TimeUnit.MILLISECONDS);
    }

    /** Returns whether the event loop is behind, so that the response may have arrived without being read yet. */
    private boolean isLoopLate() {
        return wasWritten && System.nanoTime() - checkDueNanos >= LATE_CHECK_MILLIS * 1_000_000L;
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000L;
    }

    private void endTimedOut() {
        String detail = "no complete response within %d ms, %d bytes received"
                .formatted(millisSince(startNanos), receivedBytes());
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

    /** Why a call has no response. */
    public enum Failure {
        /** No byte was sent. */
        NOT_SENT,
        /** No byte was sent, because this router did not get to it in time, which says nothing about the other side. */
        EXPIRED,
        /** No byte was sent, because the port refused the connection. */
        CONNECTION_REFUSED,
        /**
         * No byte was sent, because the call was bound to a process that can no longer be distinguished from another
         * one.
         */
        UNPROVED,
        /** No byte was sent, because the process at the address is another server than the expected one. */
        OTHER_PROCESS,
        /** The connection ended or timed out after bytes were sent. */
        LOST,
        /** What was received is not a complete response to this call. */
        SPOILED
    }

    /**
     * How a call ended. Immutable.
     *
     * @param reply the response; null after a failure
     * @param failure the failure; null after a response
     * @param detail the circumstances of a failure
     * @param isFirst whether the response is the first one on its connection, so that it is no copy of an earlier one
     */
    public record End(WireReply reply, Failure failure, String detail, boolean isFirst) {

        /** Returns whether a complete response was received. */
        public boolean isAnswered() {
            return failure == null;
        }
    }
}
