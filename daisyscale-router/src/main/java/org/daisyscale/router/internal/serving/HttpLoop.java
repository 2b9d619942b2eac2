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
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * The duty that makes HTTP calls: one event loop with persistent connections to each address. Every call ends exactly
 * once unless it is cancelled. Thread-safe; no method blocks.
 */
public final class HttpLoop implements AutoCloseable {
    /** Timeout for opening a connection, in milliseconds: TCP retransmits a lost SYN only after a second. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /**
     * SO_LINGER in seconds. Zero makes a close reset the connection, so that data held back by a broken link never
     * arrives after the call was given up.
     */
    private static final int RESET_ON_CLOSE = 0;
    /**
     * Idle time before the first TCP keep-alive probe and interval between probes, in seconds: a silent connection is
     * detected within three seconds.
     */
    private static final int PROBE_AFTER_SECONDS = 1;
    /** Number of unanswered probes after which a connection counts as lost. */
    private static final int PROBE_COUNT = 2;
    /** Interval between sweeps for stale connections, in milliseconds. */
    private static final long SWEEP_MILLIS = 1_000;

    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final ExtraResponseListener extraResponses;
    private final NioEventLoopGroup group;
    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final ByteBudget responseBytes;
    private final Map<Address, ConnectionPool> poolByAddress = new HashMap<>();
    private final Map<Address, PinnedConnection> pinnedByAddress = new HashMap<>();

    private HttpLoop(String threadName, ExtraResponseListener extraResponses, long responseBudgetBytes) {
        this.extraResponses = extraResponses;
        this.responseBytes = new ByteBudget(responseBudgetBytes);
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

    /** Starts the event loop on a thread named {@code threadName}. */
    public static HttpLoop start(String threadName) {
        return start(threadName, extra -> {});
    }

    /** Starts the event loop as above; {@code extraResponses} receives the responses that no call was waiting for. */
    static HttpLoop start(String threadName, ExtraResponseListener extraResponses) {
        return start(threadName, extraResponses, MemoryShares.ofThisProcess(0).backendBytes());
    }

    /** Starts the event loop as above; all buffered responses together take at most {@code responseBudgetBytes}. */
    static HttpLoop start(String threadName, ExtraResponseListener extraResponses, long responseBudgetBytes) {
        HttpLoop httpLoop = new HttpLoop(threadName, extraResponses, responseBudgetBytes);
        httpLoop.loop.scheduleWithFixedDelay(httpLoop::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        return httpLoop;
    }

    /** Starts {@code call}, which ends as not sent when the event loop has no room or is closed. */
    public void start(HttpCall call) {
        execute(call, () -> startPooled(call));
    }

    /**
     * Starts {@code call} on a connection that carries nothing else, so that its response is no copy of an earlier one.
     * The call is sent only if the process at its address passed {@code check}, if there is one, or if the expected
     * server just answered on the pinned connection to the address.
     */
    void startAlone(HttpCall call, Optional<ProcessCheck> check) {
        execute(call, () -> {
            call.checkTimeout(loop);
            Connector connector = connector(call.address());
            if (check.isPresent() && !hasJustAnswered(call.address(), check.get())) {
                check.get().run(connector, loop, verdict -> sendAlone(connector, call, verdict));
            } else {
                sendAlone(connector, call, ProcessCheck.Verdict.EXPECTED);
            }
        });
    }

    private boolean hasJustAnswered(Address address, ProcessCheck check) {
        PinnedConnection pinned = pinnedByAddress.get(address);
        return pinned != null && pinned.hasJustAnswered(check.serverId());
    }

    private static void sendAlone(Connector connector, HttpCall call, ProcessCheck.Verdict verdict) {
        if (verdict != ProcessCheck.Verdict.EXPECTED) {
            verdict.fail(call);
        } else if (call.maySend()) {
            OneCallConnection.send(connector, call);
        }
    }

    /**
     * Starts {@code call} on the one pinned connection to its address, see {@link PinnedConnection}. {@code pin}
     * identifies what a process receives with the call; if {@code isBound}, the call reaches the process that received
     * the same pin before, or none. The call is sent only to a process that passed {@code check}, if there is one.
     */
    void startPinned(HttpCall call, long pin, boolean isBound, Optional<ProcessCheck> check) {
        execute(call, () -> {
            call.checkTimeout(loop);
            if (call.maySend()) {
                pinnedByAddress
                        .computeIfAbsent(call.address(), address -> new PinnedConnection(connector(address), loop))
                        .send(call, pin, isBound, check);
            }
        });
    }

    private void execute(HttpCall call, Runnable start) {
        try {
            loop.execute(start);
        } catch (RejectedExecutionException e) {
            call.end(HttpCall.Failure.NOT_SENT, "the event loop is full or closed");
        }
    }

    private Connector connector(Address address) {
        return new Connector(bootstrap, address, responseBytes, extraResponses);
    }

    private void startPooled(HttpCall call) {
        call.checkTimeout(loop);
        if (call.maySend()) {
            poolByAddress
                    .computeIfAbsent(call.address(), address -> new ConnectionPool(connector(address)))
                    .send(call);
        }
    }

    /** Cancels {@code call} by closing its connection; its end is not reported. */
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
