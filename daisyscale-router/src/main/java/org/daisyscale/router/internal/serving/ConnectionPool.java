package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the open connections to one address. The most recently used connection is used first, so that surplus ones
 * become stale and are closed here before the other side closes them.
 *
 * <p>Invariant: with a {@link ProcessCheck}, calls are sent only on connections whose process passed it.
 *
 * <p>Not thread-safe; confined to the thread of its event loop.
 */
final class ConnectionPool implements ConnectionOwner {
    private final Connector connector;
    private final Optional<ProcessCheck> check;
    private final Set<HttpConnection> unidentified = new HashSet<>();
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private int openCount;

    ConnectionPool(Connector connector, Optional<ProcessCheck> check) {
        this.connector = connector;
        this.check = check;
    }

    void send(HttpCall call) {
        Optional<HttpConnection> connection = takeIdle(call);
        if (connection.isPresent()) {
            connection.get().send(call);
        } else {
            connect(call, check);
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

    private void connect(HttpCall call, Optional<ProcessCheck> neededCheck) {
        openCount++;
        HttpConnection connection = connector.create(this);
        ChannelFuture connected = connector.open(connection);
        connected.channel().closeFuture().addListener(closed -> openCount--);
        connected.addListener(done -> handleConnected(connection, call, neededCheck, connected));
    }

    private void handleConnected(
            HttpConnection connection, HttpCall call, Optional<ProcessCheck> neededCheck, ChannelFuture connected) {
        if (!connected.isSuccess()) {
            Connector.fail(call, connected.cause());
        } else if (neededCheck.isPresent()) {
            identify(connection, call, neededCheck.get(), connected.channel().eventLoop());
        } else {
            sendOrKeep(connection, call);
        }
    }

    private void identify(HttpConnection connection, HttpCall call, ProcessCheck processCheck, EventLoop loop) {
        unidentified.add(connection);
        HttpCall identification = processCheck.createCall(verdict -> {
            unidentified.remove(connection);
            if (verdict != ProcessCheck.Verdict.EXPECTED) {
                connection.close();
                call.end(
                        verdict == ProcessCheck.Verdict.ANOTHER
                                ? HttpCall.Failure.OTHER_PROCESS
                                : HttpCall.Failure.NOT_SENT,
                        "the process at the address was not identified as " + processCheck.serverId());
            } else if (connection.isUsable()) {
                sendOrKeep(connection, call);
            } else {
                connect(call, Optional.empty());
            }
        });
        identification.checkTimeout(loop);
        connection.send(identification);
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
        if (!unidentified.contains(connection)) {
            idle.addFirst(connection);
        }
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
