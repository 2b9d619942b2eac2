package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;

/**
 * Lets a listening channel accept all waiting connections in one turn of its event loop. With the default of 16 a turn,
 * connections wait for many turns while a router is behind, and {@link LoopLag}, which measures one turn, does not see
 * that wait. Stateless.
 */
final class AcceptedTogether {
    /** Connections accepted in one turn: as many as wait at most. */
    private static final int MAX_ACCEPTED = HttpServers.ACCEPT_QUEUE_SIZE;

    private AcceptedTogether() {}

    /** Sets the limit of the channel that accepted {@code connection}. */
    static void allowMany(Channel connection) {
        Channel listener = connection.parent();
        if (listener != null
                && listener.config().getRecvByteBufAllocator() instanceof MaxMessagesRecvByteBufAllocator allocator
                && allocator.maxMessagesPerRead() != MAX_ACCEPTED) {
            allocator.maxMessagesPerRead(MAX_ACCEPTED);
        }
    }
}
