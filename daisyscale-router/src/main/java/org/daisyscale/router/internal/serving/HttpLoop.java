package org.daisyscale.router.internal.serving;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * The duty that makes HTTP calls: one event loop with kept connections to each address. Every call ends exactly once,
 * unless it was cancelled. Safe for use by several threads; no method waits.
 */
public final class HttpLoop implements AutoCloseable {
    /** The time for a connection, in milliseconds: a lost opening packet is sent again only after a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** A closed connection is reset, so that what a cut link holds back never arrives after the call was given up. */
    private static final int RESET_ON_CLOSE = 0;
    /** Keep-alive probes find a silent connection within three seconds, in seconds. */
    private static final int PROBE_AFTER_SECONDS = 1;
    /** Unanswered probes after which a connection counts as lost. */
    private static final int PROBE_COUNT = 2;
    /** How often idle connections are looked through, in milliseconds. */
    private static final long SWEEP_MILLIS = 1_000;

    /** Answers that are held at once, in bytes: a seventh of the heap, as they are copied once when they are whole. */
    private static final long ANSWER_BUDGET_BYTES = 24L << 20;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final ByteBudget answerBytes = new ByteBudget(ANSWER_BUDGET_BYTES);
    private final Map<Address, ConnectionPool> poolByAddress = new HashMap<>();
    private final Map<Address, PinnedConnection> pinnedByAddress = new HashMap<>();

    private HttpLoop(String threadName) {
        this.group = new NioEventLoopGroup(1, task -> {
            Thread thread = new FastThreadLocalThread(task, threadName);
            thread.setDaemon(true);
            return thread;
        });
        this.loop = group.next();
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_LINGER, RESET_ON_CLOSE)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), PROBE_AFTER_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), PROBE_AFTER_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), PROBE_COUNT);
    }

    /** Starts the event loop on a thread of the name {@code threadName}. */
    public static HttpLoop start(String threadName) {
        HttpLoop calls = new HttpLoop(threadName);
        calls.loop.scheduleWithFixedDelay(calls::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return calls;
    }

    /** Makes {@code call}; it ends as not sent when the loop has no room or is closed. */
    public void start(HttpCall call) {
        execute(call, () -> startOnLoop(call));
    }

    /**
     * Makes {@code call} on the one pinned connection to its address, see {@link PinnedConnection}; {@code pin} names
     * what a process has got with it, and with {@code isBound} the call reaches that process or none.
     */
    public void startPinned(HttpCall call, long pin, boolean isBound) {
        execute(call, () -> {
            call.watchTime(loop);
            if (!call.isOver()) {
                pinnedByAddress
                        .computeIfAbsent(call.address(), address -> new PinnedConnection(connector(address)))
                        .send(call, pin, isBound);
            }
        });
    }

    private void execute(HttpCall call, Runnable start) {
        try {
            loop.execute(start);
        } catch (RejectedExecutionException e) {
            call.end(HttpCall.Failure.NOT_SENT, "the loop takes no more calls");
        }
    }

    private Connector connector(Address address) {
        return new Connector(bootstrap, address, answerBytes);
    }

    private void startOnLoop(HttpCall call) {
        call.watchTime(loop);
        if (!call.isOver()) {
            poolByAddress
                    .computeIfAbsent(call.address(), address -> new ConnectionPool(connector(address)))
                    .send(call);
        }
    }

    /** Breaks {@code call} off by closing its connection; it does not end. */
    public void cancel(HttpCall call) {
        try {
            loop.execute(call::cancel);
        } catch (RejectedExecutionException e) {
            call.cancel();
        }
    }

    private void sweep() {
        poolByAddress.values().forEach(ConnectionPool::closeStale);
        poolByAddress.values().removeIf(ConnectionPool::isUnused);
        pinnedByAddress.values().forEach(PinnedConnection::closeStale);
        pinnedByAddress.values().removeIf(PinnedConnection::isUnused);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
    }
}
