package org.daisyscale.router.internal.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Sends an empty frame when the connection is write-idle, and fails the connection when it is read-idle. Not
 * thread-safe; confined to the thread of the connection's event loop.
 */
final class KeepaliveHandler extends ChannelInboundHandlerAdapter {

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent idle) {
            onIdle(context, idle.state());
        } else {
            context.fireUserEventTriggered(event);
        }
    }

    private static void onIdle(ChannelHandlerContext context, IdleState state) {
        if (state == IdleState.WRITER_IDLE) {
            context.channel().writeAndFlush(Unpooled.EMPTY_BUFFER);
        } else {
            context.fireExceptionCaught(
                    new PeerException(PeerErrorCode.TIMED_OUT, "no frame received within the idle timeout", null));
        }
    }
}
