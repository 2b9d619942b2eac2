package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Closes a connection on which bytes arrive while no call is in flight, before they are decoded: they may never end.
 * Confined to the thread of its event loop.
 */
final class UnexpectedBytesHandler extends ChannelInboundHandlerAdapter {
    private final HttpConnection connection;

    UnexpectedBytesHandler(HttpConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (connection.isIdle()) {
            ReferenceCountUtil.release(message);
            connection.closeOnUnexpectedBytes();
        } else {
            context.fireChannelRead(message);
        }
    }
}
