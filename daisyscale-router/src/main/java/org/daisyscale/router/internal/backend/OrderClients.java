package org.daisyscale.router.internal.backend;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.cache.RemovalNotification;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import ratpack.http.client.HttpClient;

/**
 * Holds one pooled HTTP client per backend server for its orders. When a server sends the answer to another order, its
 * client is discarded: idle connections are closed, connections of orders in flight are closed when those orders end,
 * and the next order uses new connections. Thread-safe.
 */
final class OrderClients implements AutoCloseable {
    private static final Duration UNUSED_CLIENT_EXPIRY = Duration.ofMinutes(10);

    private final Supplier<HttpClient> clientFactory;
    private final Executor blockingExecutor;
    private final Cache<String, HttpClient> clientByServer = CacheBuilder.newBuilder()
            .expireAfterAccess(UNUSED_CLIENT_EXPIRY)
            .removalListener(this::closeRemoved)
            .build();

    OrderClients(Supplier<HttpClient> clientFactory, Executor blockingExecutor) {
        this.clientFactory = clientFactory;
        this.blockingExecutor = blockingExecutor;
    }

    /** Returns the client for the server at {@code host} and {@code port}; creates it if there is none. */
    HttpClient client(String host, int port) {
        return clientByServer.asMap().computeIfAbsent(key(host, port), unused -> clientFactory.get());
    }

    /** Discards the client of a server that sent the answer to another order. */
    void discard(String host, int port) {
        clientByServer.invalidate(key(host, port));
    }

    private static String key(String host, int port) {
        return host + ":" + port;
    }

    /** Closes the client on a blocking thread, because closing waits for its connections. */
    private void closeRemoved(RemovalNotification<String, HttpClient> removed) {
        blockingExecutor.execute(removed.getValue()::close);
    }

    @Override
    public void close() {
        clientByServer.asMap().values().forEach(HttpClient::close);
    }
}
