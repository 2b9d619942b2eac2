package org.daisyscale.router.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.daisyscale.router.internal.log.LogLimiter;
import org.tinylog.Logger;

/** Opens connections to peers on one event loop. Not thread-safe; confined to the event loop's thread. */
final class PeerDialer {
    private static final LogLimiter LIMITER = new LogLimiter(Duration.ofSeconds(10));

    private final EventLoop loop;
    private final PeerSettings settings;
    private final PeerSecret secret;
    private final PeerPipelines pipelines;

    PeerDialer(EventLoop loop, PeerSettings settings, PeerSecret secret, PeerPipelines pipelines) {
        this.loop = loop;
        this.settings = settings;
        this.secret = secret;
        this.pipelines = pipelines;
    }

    /**
     * Starts a connection to {@code peer} and returns its channel, which closes when the connection attempt or the
     * handshake fails.
     */
    Channel dial(String peer, InetSocketAddress address, HandshakeHandler.OnAuthenticated onAuthenticated) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .handler(pipelines.handshakeInitializer(
                        peer, () -> new DialerHandshake(settings.routerId(), peer, secret), onAuthenticated))
                .connect(address);
        connecting.addListener(future -> logFailure(peer, address, future.cause()));
        return connecting.channel();
    }

    private static void logFailure(String peer, InetSocketAddress address, Throwable cause) {
        if (cause != null && LIMITER.isDue(peer)) {
            PeerErrorCode code = PeerErrorCode.CONNECTION_FAILED;
            Logger.warn(
                    "peer-dial-failed code={} peer={} remote={}: {}", code.code(), peer, address, cause.getMessage());
        }
    }
}
