package org.daisyscale.router.internal.backend;

import java.time.Duration;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.error.ShellException;
import org.daisyscale.router.internal.http.ValidatingExecController;
import ratpack.exec.ExecController;
import ratpack.http.client.HttpClient;

/**
 * Owns the event loops and the HTTP clients for backend servers. Orders and control calls use separate clients, so that
 * neither waits for the other's connections. Thread-safe.
 */
public final class BackendClients implements AutoCloseable {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);
    private static final int CONTROL_CONNECTIONS_PER_LOOP = 1;
    private static final int CONTROL_POOL_QUEUE_SIZE = 64;

    private final ExecController loops;
    private final OrderClients orderClients;
    private final HttpClient controlClient;

    private BackendClients(ExecController loops, OrderClients orderClients, HttpClient controlClient) {
        this.loops = loops;
        this.orderClients = orderClients;
        this.controlClient = controlClient;
    }

    /**
     * Opens the clients.
     *
     * @throws ShellException if an HTTP client can't be created
     */
    public static BackendClients open(BackendSettings settings) {
        ExecController loops = new ValidatingExecController(settings.threadCount());
        int connectionsPerLoop = Math.max(1, settings.connectionsPerServer() / settings.threadCount());
        OrderClients orders =
                new OrderClients(() -> client(loops, settings, connectionsPerLoop, 1), loops.getBlockingExecutor());
        HttpClient control = client(loops, settings, CONTROL_CONNECTIONS_PER_LOOP, CONTROL_POOL_QUEUE_SIZE);
        return new BackendClients(loops, orders, control);
    }

    private static HttpClient client(ExecController loops, BackendSettings settings, int poolSize, int poolQueueSize) {
        try {
            return HttpClient.of(spec -> spec.execController(loops)
                    .poolSize(poolSize)
                    .poolQueueSize(poolQueueSize)
                    .idleTimeout(IDLE_TIMEOUT)
                    .connectTimeout(Duration.ofMillis(settings.connectTimeoutMillis())));
        } catch (Exception e) {
            throw new ShellException(
                    ShellErrorCode.STOPPED_BY_FAULT, "cannot create an HTTP client for backend servers", e);
        }
    }

    ExecController loops() {
        return loops;
    }

    OrderClients orderClients() {
        return orderClients;
    }

    HttpClient controlClient() {
        return controlClient;
    }

    @Override
    public void close() {
        orderClients.close();
        controlClient.close();
        loops.close();
    }
}
