package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Makes the calls to one address one after the other on one connection, so that a later call can be bound to the very
 * process that got an earlier one: a process that ends takes its connections with it, and whoever has its address next
 * gets a new one. Used by the thread of its event loop.
 */
final class PinnedConnection implements ConnectionKeeper {
    private final Connector connector;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private final Set<Long> sentPins = new HashSet<>();
    private HttpConnection connection;
    private boolean isBusy;

    PinnedConnection(Connector connector) {
        this.connector = connector;
    }

    /**
     * Makes {@code call}, which carries {@code pin}; with {@code isBound} only on the connection on which the pin went
     * out before, else the call ends as {@link HttpCall.Failure#UNPROVED}.
     */
    void send(HttpCall call, long pin, boolean isBound) {
        waiting.add(new Waiting(call, pin, isBound));
        sendNext();
    }

    private void sendNext() {
        while (!isBusy && !waiting.isEmpty()) {
            Waiting next = waiting.poll();
            if (!next.call().isOver()) {
                send(next);
            }
        }
    }

    private void send(Waiting next) {
        boolean isOpen = connection != null && connection.isUsable();
        if (next.isBound() && !(isOpen && sentPins.contains(next.pin()))) {
            next.call().end(HttpCall.Failure.UNPROVED, "the connection to the process that took it is gone");
        } else if (isOpen) {
            write(next);
        } else {
            connect(next);
        }
    }

    private void write(Waiting next) {
        isBusy = true;
        sentPins.add(next.pin());
        connection.send(next.call());
    }

    private void connect(Waiting next) {
        close();
        isBusy = true;
        HttpConnection opened = connector.create(this);
        connection = opened;
        ChannelFuture connected = connector.open(opened);
        connected.channel().closeFuture().addListener(closed -> ended(opened));
        connected.addListener(done -> {
            if (!connected.isSuccess()) {
                Connector.fail(next.call(), connected.cause());
                ended(opened);
            } else if (next.call().isOver()) {
                release(opened);
            } else {
                write(next);
            }
        });
    }

    private void ended(HttpConnection closed) {
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
    public void forget(HttpConnection gone) {
        ended(gone);
    }

    void closeStale() {
        if (!isBusy && connection != null && !connection.isUsable()) {
            close();
        }
    }

    boolean isUnused() {
        return connection == null && waiting.isEmpty();
    }

    private record Waiting(HttpCall call, long pin, boolean isBound) {}
}
