package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Makes the calls to one address one after the other on one connection, so that a later call can be bound to the
 * process that received an earlier one: the connections of a process end with it, and a process that takes over its
 * address gets a new connection. Not thread-safe; confined to the thread of its event loop.
 */
final class PinnedConnection implements ConnectionOwner {
    private final Connector connector;
    private final Deque<PendingCall> pendingCalls = new ArrayDeque<>();
    private final Set<Long> sentPins = new HashSet<>();
    private HttpConnection connection;
    private boolean isBusy;

    PinnedConnection(Connector connector) {
        this.connector = connector;
    }

    /**
     * Queues {@code call}, which carries {@code pin}. If {@code isBound}, the call is made only on the connection on
     * which the pin was sent before; otherwise it ends as {@link HttpCall.Failure#UNPROVED}.
     */
    void send(HttpCall call, long pin, boolean isBound) {
        pendingCalls.add(new PendingCall(call, pin, isBound));
        sendNext();
    }

    private void sendNext() {
        while (!isBusy && !pendingCalls.isEmpty()) {
            PendingCall next = pendingCalls.poll();
            if (next.call().maySend()) {
                send(next);
            }
        }
    }

    private void send(PendingCall next) {
        boolean isOpen = connection != null && connection.isUsable();
        if (next.isBound() && !(isOpen && sentPins.contains(next.pin()))) {
            next.call()
                    .end(HttpCall.Failure.UNPROVED, "the connection to the process that received the grant is closed");
        } else if (isOpen) {
            write(next);
        } else {
            connect(next);
        }
    }

    private void write(PendingCall next) {
        isBusy = true;
        sentPins.add(next.pin());
        connection.send(next.call());
    }

    private void connect(PendingCall next) {
        close();
        isBusy = true;
        HttpConnection opened = connector.create(this);
        connection = opened;
        ChannelFuture connected = connector.open(opened);
        connected.channel().closeFuture().addListener(closed -> handleClosed(opened));
        connected.addListener(done -> {
            if (!connected.isSuccess()) {
                Connector.fail(next.call(), connected.cause());
                handleClosed(opened);
            } else if (next.call().maySend()) {
                write(next);
            } else {
                release(opened);
            }
        });
    }

    private void handleClosed(HttpConnection closed) {
        if (closed == connection) {
            connection = null;
            sentPins.clear();
            isBusy = false;
            sendNext();
        }
    }

    private void close() {
        if (connection != null) {
            HttpConnection old = connection;
            connection = null;
            sentPins.clear();
            old.close();
        }
    }

    @Override
    public void release(HttpConnection released) {
        if (released == connection) {
            isBusy = false;
            sendNext();
        }
    }

    @Override
    public void remove(HttpConnection closed) {
        handleClosed(closed);
    }

    void closeStale() {
        if (!isBusy && connection != null && !connection.isUsable()) {
            close();
        }
    }

    boolean isUnused() {
        return connection == null && pendingCalls.isEmpty();
    }

    private record PendingCall(HttpCall call, long pin, boolean isBound) {}
}
