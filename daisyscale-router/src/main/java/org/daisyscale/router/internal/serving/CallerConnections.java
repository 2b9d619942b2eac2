package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;

/** Tracks the connections of callers that have sent a request. Thread-safe. */
final class CallerConnections {
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private volatile boolean isClosing;
    private volatile boolean isRejecting;

    void add(Channel channel) {
        channels.add(channel);
    }

    /** Makes every response from now on close its connection. */
    void startClosing() {
        isClosing = true;
    }

    boolean isClosing() {
        return isClosing;
    }

    /** Makes the router reject new requests, so that those in flight can end before it stops. */
    void startRejecting() {
        isRejecting = true;
    }

    boolean isRejecting() {
        return isRejecting;
    }

    /** Closes the connections that have no pending response. */
    void closeIdle() {
        channels.forEach(channel -> channel.eventLoop().execute(() -> {
            if (ResponseOrder.of(channel).isIdle()) {
                channel.close();
            }
        }));
    }

    /** Gives up the requests behind which ready responses wait, so that these are sent before the process ends. */
    void giveUpBlocking() {
        channels.forEach(channel ->
                channel.eventLoop().execute(() -> ResponseOrder.of(channel).giveUpBlocking()));
    }

    int size() {
        return channels.size();
    }
}
