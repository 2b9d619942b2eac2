package org.daisyscale.router.internal.serving;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a connection on which bytes arrive while no call is in flight, or too many for the call in flight, before they
 * are decoded: they may never end. Confined to the thread of its event loop.
 */
final class UnexpectedBytesHandler extends ChannelInboundHandlerAdapter {
    private final HttpConnection connection;

    UnexpectedBytesHandler(HttpConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (connection.isIdle()) {
            connection.closeOnUnexpectedBytes(bytes);
            bytes.release();
        } else if (connection.isReceivingTooMuch(bytes.readableBytes())) {
            bytes.release();
            connection.closeOnTooManyBytes();
        } else {
            context.fireChannelRead(message);
        }
    }
}
