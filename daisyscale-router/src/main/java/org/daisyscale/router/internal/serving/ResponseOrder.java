package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends the responses of one connection in the order in which its requests arrived. Invariant: no request that was
 * passed on to the decisions stands behind the response that closes the connection, since its caller would take it as
 * not read, and so as not run. Not thread-safe; confined to the event loop of the connection.
 */
final class ResponseOrder {
    /**
     * Limit of the requests of one connection without a sent response. A caller that reads no responses would otherwise
     * fill the router with those to all requests that one read of its connection returned.
     */
    static final int MAX_PENDING = 32;

    private static final AttributeKey<ResponseOrder> KEY = AttributeKey.valueOf("daisyscale.answerOrder");

    private final Deque<PendingResponse> pendingResponses = new ArrayDeque<>();
    private long heldBytes;
    private boolean isClosing;
    private boolean isGivingUp;

    private ResponseOrder() {}

    /** Returns the response order of the connection {@code channel}, creating it on first use. */
    static ResponseOrder of(Channel channel) {
        ResponseOrder responses = channel.attr(KEY).get();
        if (responses == null) {
            responses = new ResponseOrder();
            channel.attr(KEY).set(responses);
        }
        return responses;
    }

    /** Adds the response to the request that arrived last. */
    PendingResponse append() {
        PendingResponse response = new PendingResponse();
        pendingResponses.add(response);
        return response;
    }

    /**
     * Returns whether this connection may have no further request passed on: it has too many without a sent response,
     * or more than {@code maxHeldBytes} of responses wait for the caller to read them.
     */
    boolean isFull(long maxHeldBytes) {
        return pendingResponses.size() > MAX_PENDING || heldBytes > maxHeldBytes;
    }

    boolean isIdle() {
        return pendingResponses.isEmpty();
    }

    /**
     * Gives up each request from now on behind which the response to another request is ready: the process ends soon,
     * and the ready response would end with it.
     */
    void giveUpBlocking() {
        isGivingUp = true;
        giveUpFirstIfBlocking();
    }

    private void giveUpFirstIfBlocking() {
        PendingResponse first = pendingResponses.peekFirst();
        if (isGivingUp
                && first != null
                && first.send == null
                && pendingResponses.stream().anyMatch(pending -> pending.isPassedOn && pending.send != null)) {
            first.giveUp.run();
        }
    }

    private void sendFirstIfReady() {
        giveUpFirstIfBlocking();
        PendingResponse first = pendingResponses.peekFirst();
        if (first != null && first.send != null && !first.isSending && !isClosing) {
            first.isSending = true;
            first.send.run();
        }
    }

    /** The pending response to one request. Not thread-safe; confined to the event loop of the connection. */
    final class PendingResponse {
        private Runnable send;
        private Runnable giveUp = () -> {};
        private boolean isSending;
        private boolean isPassedOn;
        private long ownHeldBytes;

        private PendingResponse() {}

        /** Records that the response is ready with a body of {@code bytes}, which are held until it is sent. */
        void hold(long bytes) {
            ownHeldBytes = bytes;
            heldBytes += bytes;
        }

        /** Runs {@code newSend} once all earlier responses have been sent. */
        void sendInOrder(Runnable newSend) {
            send = newSend;
            sendFirstIfReady();
        }

        /**
         * Records that the request is passed on to the decisions; returns false if it must not be, because an earlier
         * response closes the connection, or will close it if {@code isStopping}. A request behind the response that
         * closes its connection was not read, and no response to it is owed.
         */
        boolean tryPassOn(boolean isStopping) {
            isPassedOn = !isClosing && !(isStopping && pendingResponses.peekFirst() != this);
            return isPassedOn;
        }

        /** Sets what ends the request that was passed on with a failure; see {@link ResponseOrder#giveUpBlocking}. */
        void onGivenUp(Runnable newGiveUp) {
            giveUp = newGiveUp;
        }

        /**
         * Makes this response, which is being sent, the last one of its connection; returns false if it can't be,
         * because a request behind it was passed on.
         */
        boolean tryClose() {
            isClosing = pendingResponses.stream().noneMatch(pending -> pending != this && pending.isPassedOn);
            return isClosing;
        }

        /** Records that the response was sent, and sends the next one. */
        void complete() {
            pendingResponses.remove(this);
            heldBytes -= ownHeldBytes;
            ownHeldBytes = 0;
            sendFirstIfReady();
        }
    }
}
