package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps the open connections to one address. The most recently used connection is used first, so that surplus ones
 * become stale and are closed here before the other side closes them. Not thread-safe; confined to the thread of its
 * event loop.
 */
final class ConnectionPool implements ConnectionOwner {
    private final Connector connector;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private int openCount;

    ConnectionPool(Connector connector) {
        this.connector = connector;
    }

    void send(HttpCall call) {
        if (call.isNewConnectionNeeded()) {
            connect(call);
            return;
        }
        HttpConnection connection = idle.pollFirst();
        while (connection != null && !connection.isUsable()) {
            connection.close();
            connection = idle.pollFirst();
        }
        if (connection == null) {
            connect(call);
        } else {
            connection.send(call);
        }
    }

    private void connect(HttpCall call) {
        openCount++;
        HttpConnection connection = connector.create(this);
        ChannelFuture connected = connector.open(connection);
        connected.channel().closeFuture().addListener(closed -> openCount--);
        connected.addListener(done -> handleConnected(connection, call, connected));
    }

    private void handleConnected(HttpConnection connection, HttpCall call, ChannelFuture connected) {
        if (!connected.isSuccess()) {
            Connector.fail(call, connected.cause());
        } else if (call.maySend()) {
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
