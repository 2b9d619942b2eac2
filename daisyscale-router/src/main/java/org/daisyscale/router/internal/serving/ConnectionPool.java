package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Keeps the open connections to one address. The most recently used connection is used first, so that surplus ones
 * become stale and are closed here before the other side closes them.
 *
 * <p>Not thread-safe; confined to the thread of its event loop.
 */
final class ConnectionPool implements ConnectionOwner {
    private final Connector connector;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private int openCount;

    ConnectionPool(Connector connector) {
        this.connector = connector;
    }

    void send(HttpCall call) {
        Optional<HttpConnection> connection = takeIdle(call);
        if (connection.isPresent()) {
            connection.get().send(call);
        } else {
            connect(call);
        }
    }

    /** Takes the most recently used connection that may carry {@code call}; closes the unusable ones before it. */
    private Optional<HttpConnection> takeIdle(HttpCall call) {
        Iterator<HttpConnection> connections = idle.iterator();
        while (connections.hasNext()) {
            HttpConnection connection = connections.next();
            if (!connection.isUsable()) {
                connections.remove();
                connection.close();
            } else if (connection.mayCarry(call)) {
                connections.remove();
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    private void connect(HttpCall call) {
        openCount++;
        HttpConnection connection = connector.create(this);
        ChannelFuture connected = connector.open(connection);
        connected.channel().closeFuture().addListener(closed -> openCount--);
        connected.addListener(done -> {
            if (connected.isSuccess()) {
                sendOrKeep(connection, call);
            } else {
                Connector.fail(call, connected.cause());
            }
        });
    }

    private void sendOrKeep(HttpConnection connection, HttpCall call) {
        if (call.maySend()) {
            connection.send(call);
        } else {
            idle.addFirst(connection);
        }
    }

    @Override
    public void release(HttpConnection connection) {
        idle.addFirst(connection);
    }

    @Override
    public void remove(HttpConnection connection) {
        idle.remove(connection);
    }

    void closeStale() {
        while (!idle.isEmpty() && !idle.peekLast().isUsable()) {
            idle.pollLast().close();
        }
    }

    boolean isUnused() {
        return openCount == 0;
    }
}
