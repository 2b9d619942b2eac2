package org.daisyscale.router.internal.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.FastThreadLocalThread;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Runs the duty {@code peers}: one thread that manages the connections to all other routers. Both sides prove knowledge
 * of the shared secret before any other message is read. When the event ring is full, the thread waits; the peers'
 * outboxes then fill, and newer state replaces older state there. Thread-safe; no method blocks on a peer.
 *
 * <pre>{@code
 * PeerSettings settings = PeerSettings.defaults("r1", "127.0.0.1", 7001);
 * try (PeerNetwork network = PeerNetwork.start(settings, secret, codec, events)) {
 *     network.updatePeer(new Action.KnowPeer("r2", "127.0.0.1", 7002));
 *     network.send(new Action.SendPeer("r2", new PeerMessage.MapRequest()));
 * }
 * }</pre>
 */
public final class PeerNetwork implements AutoCloseable {
    private static final long CLOSE_TIMEOUT_MILLIS = 1_000;

    private final PeerSettings settings;
    private final PeerCodec codec;
    private final FrameEncoder encoder;
    private final Ring<Event> events;
    private final PeerPipelines pipelines;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final PeerDialer dialer;
    private final Map<String, PeerLink> linkByPeer = new ConcurrentHashMap<>();
    private volatile Thread thread;
    private Channel listener;

    private PeerNetwork(PeerSettings settings, PeerSecret secret, PeerCodec codec, Ring<Event> events) {
        this.settings = settings;
        this.codec = codec;
        this.encoder = new FrameEncoder(codec);
        this.events = events;
        this.pipelines = new PeerPipelines(settings);
        this.group = new NioEventLoopGroup(1, this::newThread);
        this.loop = group.next();
        this.dialer = new PeerDialer(loop, settings, secret, pipelines);
    }

    /**
     * Starts the thread and listens on the configured address.
     *
     * @throws PeerException if the address cannot be bound
     */
    public static PeerNetwork start(PeerSettings settings, PeerSecret secret, PeerCodec codec, Ring<Event> events) {
        PeerNetwork network = new PeerNetwork(settings, secret, codec, events);
        try {
            network.listen(secret);
        } catch (RuntimeException e) {
            network.close();
            throw e;
        }
        return network;
    }

    /** Returns the port that the network listens on. */
    public int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Sets the address of a peer and dials it, or disconnects the peer when the port is 0. */
    public void updatePeer(Action.KnowPeer action) {
        if (!action.peer().equals(settings.routerId())) {
            runOnLoop(() -> updatePeerOnLoop(action));
        }
    }

    /**
     * Queues a message for a peer. A message that is not state and cannot be delivered is followed by a
     * {@link Event.PeerDisconnected}.
     */
    public void send(Action.SendPeer action) {
        try {
            link(action.to()).send(action.message());
        } catch (RejectedExecutionException e) {
            // The event loop is shut down and every connection is closed.
        }
    }

    private void listen(PeerSecret secret) {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipelines.handshakeInitializer(
                        "", () -> new AcceptorHandshake(settings.routerId(), secret), this::acceptInbound))
                .bind(settings.host(), settings.port())
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new PeerException(PeerErrorCode.CANNOT_LISTEN, address(), bound.cause());
        }
        listener = bound.channel();
    }

    private String address() {
        return settings.host() + ":" + settings.port();
    }

    private void acceptInbound(Channel channel, String peer) {
        PeerLink link = link(peer);
        link.acceptInbound(channel);
        channel.closeFuture().addListener(closed -> removeIfIdle(peer, link));
    }

    private void updatePeerOnLoop(Action.KnowPeer action) {
        PeerLink link = link(action.peer());
        if (action.port() == 0) {
            link.disconnect();
            removeIfIdle(action.peer(), link);
        } else {
            link.setAddress(new InetSocketAddress(action.host(), action.port()));
        }
    }

    private void removeIfIdle(String peer, PeerLink link) {
        if (link.isIdle()) {
            linkByPeer.remove(peer, link);
        }
    }

    private PeerLink link(String peer) {
        return linkByPeer.computeIfAbsent(
                peer, id -> new PeerLink(id, loop, dialer, pipelines, codec, encoder, settings, this::emit));
    }

    private void emit(Event event) {
        try {
            events.put(event);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void runOnLoop(Runnable task) {
        try {
            loop.execute(task);
        } catch (RejectedExecutionException e) {
            // The event loop is shut down and every connection is closed.
        }
    }

    private Thread newThread(Runnable task) {
        thread = new FastThreadLocalThread(task, "peers");
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (!group.terminationFuture().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS)) {
            thread.interrupt();
            group.terminationFuture().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
        }
    }
}
