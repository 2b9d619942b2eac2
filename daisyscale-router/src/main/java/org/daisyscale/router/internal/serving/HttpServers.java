package org.daisyscale.router.internal.serving;

import java.net.InetAddress;
import java.time.Duration;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

/** Starts and stops Ratpack servers. Stateless. */
final class HttpServers {
    /** Length of the queue of connections to be accepted: enough for all callers of a zone connecting at once. */
    static final int ACCEPT_QUEUE_SIZE = 1_024;
    /** Limit of a header section, in bytes: above the largest limit that operators set. */
    private static final int MAX_HEADER_BYTES = 65_536;
    /** Idle timeout of a connection: longer than any that operators set, so that callers close first. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(120);

    private HttpServers() {}

    /**
     * Starts a server on one thread.
     *
     * @throws ShellException when the server cannot listen on {@code address}
     */
    static RatpackServer start(Address address, Handler handler) {
        try {
            return RatpackServer.start(spec -> spec.serverConfig(
                            config -> config.address(InetAddress.getByName(address.host()))
                                    .port(address.port())
                                    .threads(1)
                                    .connectQueueSize(ACCEPT_QUEUE_SIZE)
                                    .maxHeaderSize(MAX_HEADER_BYTES)
                                    .maxInitialLineLength(MAX_HEADER_BYTES)
                                    .idleTimeout(IDLE_TIMEOUT)
                                    .development(false)
                                    .registerShutdownHook(false))
                    .handler(registry -> handler));
        } catch (Exception e) {
            throw new ShellException(ShellErrorCode.CANNOT_LISTEN, address.host() + ":" + address.port(), e);
        }
    }

    /**
     * Stops {@code server}.
     *
     * @throws ShellException when the server does not stop
     */
    static void stop(RatpackServer server) {
        try {
            server.stop();
        } catch (Exception e) {
            throw new ShellException(ShellErrorCode.STOPPED_BY_FAULT, "an HTTP server did not stop", e);
        }
    }
}
