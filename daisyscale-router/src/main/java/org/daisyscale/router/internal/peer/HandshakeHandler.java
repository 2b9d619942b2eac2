package org.daisyscale.router.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import org.daisyscale.codec.peer.HandshakeCodec;
import org.daisyscale.codec.peer.HandshakeMessage;

/**
 * Reads and writes the frames of one {@link Handshake} and fails the connection when the handshake exceeds its timeout.
 * Not thread-safe; confined to the thread of the connection's event loop.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final HandshakeCodec CODEC = new HandshakeCodec();

    private final Handshake handshake;
    private final long timeoutMillis;
    private final OnAuthenticated onAuthenticated;
    private boolean isComplete;

    HandshakeHandler(Handshake handshake, long timeoutMillis, OnAuthenticated onAuthenticated) {
        this.handshake = handshake;
        this.timeoutMillis = timeoutMillis;
        this.onAuthenticated = onAuthenticated;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        context.executor().schedule(() -> failIfIncomplete(context), timeoutMillis, TimeUnit.MILLISECONDS);
        handshake.openingMessage().ifPresent(message -> write(context, message));
        context.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
        Handshake.Step step = handshake.receive(CODEC.decode(ByteBufUtil.getBytes(frame)));
        if (step.authenticatedPeer().isPresent()) {
            isComplete = true;
            onAuthenticated.onAuthenticated(
                    context.channel(), step.authenticatedPeer().get());
        }
        step.answer().ifPresent(message -> write(context, message));
    }

    private void failIfIncomplete(ChannelHandlerContext context) {
        if (!isComplete && context.channel().isActive()) {
            String detail = "handshake not complete after %d ms".formatted(timeoutMillis);
            context.fireExceptionCaught(new PeerException(PeerErrorCode.TIMED_OUT, detail, null));
        }
    }

    private static void write(ChannelHandlerContext context, HandshakeMessage message) {
        context.channel().writeAndFlush(Unpooled.wrappedBuffer(CODEC.encode(message)));
    }

    /** Called when the other side is authenticated. */
    @FunctionalInterface
    interface OnAuthenticated {

        /** Takes over {@code channel}, whose other side is authenticated as {@code peer}. */
        void onAuthenticated(Channel channel, String peer);
    }
}
