package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection on which bytes come while no call waits, before anything tries to make sense of them: they may
 * never end. Used by the thread of its event loop.
 */
final class UnaskedBytesHandler extends ChannelInboundHandlerAdapter {
    private final HttpConnection connection;

    UnaskedBytesHandler(HttpConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isIdle()) {
            ReferenceCountUtil.release(message);
            connection.closeUnasked();
        } else {
            context.fireChannelRead(message);
        }
    }
}
