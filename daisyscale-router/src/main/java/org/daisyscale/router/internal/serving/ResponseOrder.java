package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sends the responses of one connection in the order in which its requests arrived. Not thread-safe; confined to the
 * event loop of the connection.
 */
final class ResponseOrder {
    private static final AttributeKey<ResponseOrder> KEY = AttributeKey.valueOf("daisyscale.answerOrder");

    private final Deque<PendingResponse> pendingResponses = new ArrayDeque<>();

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

    boolean isIdle() {
        return pendingResponses.isEmpty();
    }

    private void sendFirstIfReady() {
        PendingResponse first = pendingResponses.peekFirst();
        if (first != null && first.send != null && !first.isSending) {
            first.isSending = true;
            first.send.run();
        }
    }

    /** The pending response to one request. Not thread-safe; confined to the event loop of the connection. */
    final class PendingResponse {
        private Runnable send;
        private boolean isSending;

        private PendingResponse() {}

        /** Runs {@code newSend} once all earlier responses have been sent. */
        void sendInOrder(Runnable newSend) {
            send = newSend;
            sendFirstIfReady();
        }

        /** Records that the response was sent, and sends the next one. */
        void complete() {
            pendingResponses.remove(this);
            sendFirstIfReady();
        }
    }
}
