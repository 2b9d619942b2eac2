package org.daisyscale.router.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.function.Consumer;

/**
 * Passes on each non-empty frame of an authenticated connection and calls back when the connection becomes writable
 * again. Not thread-safe; confined to the thread of the connection's event loop.
 */
final class PeerFrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final Consumer<byte[]> onFrame;
    private final Runnable onWritable;

    PeerFrameHandler(Consumer<byte[]> onFrame, Runnable onWritable) {
        this.onFrame = onFrame;
        this.onWritable = onWritable;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        if (frame.isReadable()) {
            onFrame.accept(ByteBufUtil.getBytes(frame));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            onWritable.run();
        }
        context.fireChannelWritabilityChanged();
    }
}
