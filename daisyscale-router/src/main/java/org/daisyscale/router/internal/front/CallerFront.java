package org.daisyscale.router.internal.front;

import java.net.InetAddress;
import org.daisyscale.core.Event;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.request.PendingRequests;
import org.daisyscale.router.internal.ring.Ring;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.server.RatpackServer;

/**
 * The HTTP server for callers. A request reaches the core only with its complete body; a reply is sent with its
 * complete body and a Content-Length. Thread-safe.
 *
 * <pre>{@code
 * try (CallerFront front = CallerFront.start(settings, "router-1", events, pending, budget, metrics)) {
 *     log(front.port());
 * }
 * }</pre>
 */
public final class CallerFront implements AutoCloseable {
    private static final int CONNECT_QUEUE_SIZE = 1_024;
    private static final long OPEN_REPLIES_TIMEOUT_MILLIS = 1_000;

    private final RatpackServer server;
    private final OpenExchanges exchanges;

    private CallerFront(RatpackServer server, OpenExchanges exchanges) {
        this.server = server;
        this.exchanges = exchanges;
    }

    /**
     * Starts the server.
     *
     * @throws ShellException if the server can't listen on the address
     */
    public static CallerFront start(
            CallerFrontSettings settings,
            String routerId,
            Ring<Event> events,
            PendingRequests pending,
            ByteBudget budget,
            RouterMetrics metrics) {
        OpenExchanges exchanges = new OpenExchanges();
        CallerHandler handler = new CallerHandler(routerId, settings, events, pending, budget, metrics, exchanges);
        ErrorReplies errors = new ErrorReplies();
        try {
            return new CallerFront(
                    RatpackServer.start(spec -> spec.serverConfig(
                                    config -> config.address(InetAddress.getByName(settings.host()))
                                            .port(settings.port())
                                            .threads(settings.threadCount())
                                            .connectQueueSize(CONNECT_QUEUE_SIZE)
                                            .development(false)
                                            .registerShutdownHook(false))
                            .registryOf(registry -> registry.add(ServerErrorHandler.class, errors)
                                    .add(ClientErrorHandler.class, errors))
                            .handler(registry -> handler)),
                    exchanges);
        } catch (Exception e) {
            throw new ShellException(
                    ShellErrorCode.CANNOT_LISTEN,
                    "HTTP server for callers at " + settings.host() + ":" + settings.port(),
                    e);
        }
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.getBindPort();
    }

    @Override
    public void close() {
        try {
            exchanges.awaitNone(OPEN_REPLIES_TIMEOUT_MILLIS);
            server.stop();
        } catch (Exception e) {
            throw new ShellException(ShellErrorCode.STOPPED_BY_FAULT, "the HTTP server for callers did not stop", e);
        }
    }
}
