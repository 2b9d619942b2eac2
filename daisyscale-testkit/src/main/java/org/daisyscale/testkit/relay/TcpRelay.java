package org.daisyscale.testkit.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;

/**
 * Forwards the connections of one port to another, and cuts or delays either direction while they stay open, as a
 * broken network does: what is sent into a cut arrives late, once the cut is healed. Safe for use by several threads.
 *
 * <pre>{@code
 * try (TcpRelay relay = TcpRelay.start(0, peerPort)) {
 *     relay.set(TcpRelay.Link.cut(), TcpRelay.Link.open());
 * }
 * }</pre>
 */
public final class TcpRelay implements AutoCloseable {
    private static final String HOST = "127.0.0.1";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final Set<Pump> pumps = ConcurrentHashMap.newKeySet();
    private final int targetPort;
    private final Channel listener;
    private volatile Link forward = Link.open();
    private volatile Link back = Link.open();

    private TcpRelay(int port, int targetPort) {
        this.targetPort = targetPort;
        var bind = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel near) {
                        connect(near);
                    }
                })
                .bind(HOST, port)
                .awaitUninterruptibly();
        if (!bind.isSuccess()) {
            loops.shutdownGracefully();
            throw new TestkitException(TestkitErrorCode.LISTEN_FAILED, HOST + ":" + port, bind.cause());
        }
        this.listener = bind.channel();
    }

    /** Listens on {@code port}, 0 for a free one, and forwards to {@code targetPort}. */
    public static TcpRelay start(int port, int targetPort) {
        return new TcpRelay(port, targetPort);
    }

    private void connect(Channel near) {
        new Bootstrap()
                .group(near.eventLoop())
                .channel(NioSocketChannel.class)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(HOST, targetPort)
                .addListener((io.netty.channel.ChannelFuture connected) -> {
                    if (connected.isSuccess()) {
                        join(near, connected.channel());
                    } else {
                        near.close();
                    }
                });
    }

    private void join(Channel near, Channel far) {
        near.pipeline().addLast(new Pump(near, far, true));
        far.pipeline().addLast(new Pump(far, near, false));
        near.config().setAutoRead(true);
    }

    /** The port listened on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Sets how what is sent towards the target and back fares from now on. */
    public void set(Link newForward, Link newBack) {
        forward = newForward;
        back = newBack;
        loops.next().execute(() -> List.copyOf(pumps).forEach(Pump::drain));
    }

    @Override
    public void close() {
        listener.close().awaitUninterruptibly();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * How one direction fares. Immutable.
     *
     * @param isCut whether nothing gets through until it is healed
     * @param delayMillis how much later it arrives, in milliseconds
     */
    public record Link(boolean isCut, long delayMillis) {

        /** A direction without fault. */
        public static Link open() {
            return new Link(false, 0);
        }

        /** A direction that lets nothing through. */
        public static Link cut() {
            return new Link(true, 0);
        }

        /** A direction that is late. */
        public static Link delayed(long delayMillis) {
            return new Link(false, delayMillis);
        }
    }

    /** Moves what one side sends to the other, in its order. Used by the relay's one event loop. */
    private final class Pump extends ChannelInboundHandlerAdapter {
        private final Channel source;
        private final Channel target;
        private final boolean isForward;
        private final Deque<Held> held = new ArrayDeque<>();

        Pump(Channel source, Channel target, boolean isForward) {
            this.source = source;
            this.target = target;
            this.isForward = isForward;
            pumps.add(this);
            source.closeFuture().addListener(closed -> pumps.remove(this));
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(link().delayMillis());
            held.addLast(new Held(message, dueNanos));
            drain();
        }

        private Link link() {
            return isForward ? forward : back;
        }

        private void drain() {
            source.config().setAutoRead(!link().isCut());
            while (!link().isCut() && !held.isEmpty() && held.peekFirst().isDue()) {
                target.writeAndFlush(held.removeFirst().message());
            }
            if (!link().isCut() && !held.isEmpty()) {
                long leftNanos = Math.max(1, held.peekFirst().dueNanos() - System.nanoTime());
                source.eventLoop().schedule(this::drain, leftNanos, TimeUnit.NANOSECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (!link().isCut()) {
                target.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** What waits to be passed on. */
    private record Held(Object message, long dueNanos) {

        boolean isDue() {
            return dueNanos - System.nanoTime() <= 0;
        }
    }
}
