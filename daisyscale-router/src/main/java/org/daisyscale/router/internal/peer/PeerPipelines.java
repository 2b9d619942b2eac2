package org.daisyscale.router.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Configures the handlers of a connection: first for the handshake, with small frames, then for messages, with frames
 * up to the configured limit. Immutable and thread-safe.
 */
final class PeerPipelines {
    private static final int LENGTH_BYTES = 4;
    private static final int MAX_HANDSHAKE_FRAME_BYTES = 1_024;
    private static final String FRAMES = "frames";
    private static final String HANDSHAKE = "handshake";
    private static final String FAILURES = "failures";

    private final PeerSettings settings;

    PeerPipelines(PeerSettings settings) {
        this.settings = settings;
    }

    /**
     * Returns an initializer that starts each connection with a handshake from {@code handshakes}; {@code peer} is
     * empty while unknown.
     */
    ChannelInitializer<Channel> handshakeInitializer(
            String peer, Supplier<Handshake> handshakes, HandshakeHandler.OnAuthenticated onAuthenticated) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                long timeoutMillis = settings.handshakeTimeoutMillis();
                channel.pipeline()
                        .addLast(FRAMES, decoder(MAX_HANDSHAKE_FRAME_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(HANDSHAKE, new HandshakeHandler(handshakes.get(), timeoutMillis, onAuthenticated))
                        .addLast(FAILURES, new FailureHandler(peer));
            }
        };
    }

    /** Switches a connection that is authenticated as {@code peer} from the handshake to {@code handler}. */
    void startMessages(Channel channel, String peer, PeerFrameHandler handler) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.replace(FRAMES, FRAMES, decoder(settings.maxFrameBytes()));
        pipeline.replace(HANDSHAKE, "idle", idleHandler());
        pipeline.replace(FAILURES, FAILURES, new FailureHandler(peer));
        pipeline.addBefore(FAILURES, "keepalive", new KeepaliveHandler());
        pipeline.addBefore(FAILURES, "messages", handler);
    }

    private IdleStateHandler idleHandler() {
        return new IdleStateHandler(
                settings.silenceTimeoutMillis(), settings.keepaliveMillis(), 0, TimeUnit.MILLISECONDS);
    }

    private static LengthFieldBasedFrameDecoder decoder(int maxFrameBytes) {
        return new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
    }
}
