package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Makes the calls to one address one after the other on one connection, so that a later call can be bound to the
 * process that received an earlier one: the connections of a process end with it, and a process that takes over its
 * address gets a new connection.
 *
 * <p>Invariants: a call with a {@link ProcessCheck} is sent only on a connection that was opened right after the
 * process at the address passed that check. The first response on the connection belongs to the first call; any later
 * one may be a copy of an earlier one.
 *
 * <p>Not thread-safe; confined to the thread of its event loop.
 */
final class PinnedConnection implements ConnectionOwner {
    private static final String NOT_IDENTIFIED = "";

    private final Connector connector;
    private final EventLoop loop;
    private final Deque<PendingCall> pendingCalls = new ArrayDeque<>();
    private final Set<Long> sentPins = new HashSet<>();
    private HttpConnection connection;
    private String identifiedServerId = NOT_IDENTIFIED;
    private boolean isBusy;

    PinnedConnection(Connector connector, EventLoop loop) {
        this.connector = connector;
        this.loop = loop;
    }

    /**
     * Queues {@code call}, which carries {@code pin}. If {@code isBound}, the call is made only on the connection on
     * which the pin was sent before; otherwise it ends as {@link HttpCall.Failure#UNPROVED}. If {@code check} finds
     * another server, the call ends as {@link HttpCall.Failure#OTHER_PROCESS}.
     */
    void send(HttpCall call, long pin, boolean isBound, Optional<ProcessCheck> check) {
        pendingCalls.add(new PendingCall(call, pin, isBound, check));
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
        } else if (isOpen && next.isFor(identifiedServerId)) {
            write(next);
        } else if (isOpen && !identifiedServerId.equals(NOT_IDENTIFIED)) {
            ProcessCheck.Verdict.ANOTHER.fail(next.call());
        } else if (next.check().isPresent()) {
            check(next, next.check().get());
        } else {
            connect(next);
        }
    }

    private void write(PendingCall next) {
        isBusy = true;
        sentPins.add(next.pin());
        connection.send(next.call());
    }

    private void check(PendingCall next, ProcessCheck check) {
        close();
        isBusy = true;
        check.run(connector, loop, verdict -> {
            if (verdict == ProcessCheck.Verdict.EXPECTED) {
                connect(next);
            } else {
                isBusy = false;
                verdict.fail(next.call());
                sendNext();
            }
        });
    }

    private void connect(PendingCall next) {
        close();
        isBusy = true;
        HttpConnection opened = connector.create(this);
        connection = opened;
        identifiedServerId = next.check().map(ProcessCheck::serverId).orElse(NOT_IDENTIFIED);
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
            forgetConnection();
            isBusy = false;
            sendNext();
        }
    }

    private void forgetConnection() {
        connection = null;
        identifiedServerId = NOT_IDENTIFIED;
        sentPins.clear();
    }

    private void close() {
        if (connection != null) {
            HttpConnection old = connection;
            forgetConnection();
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
        return connection == null && !isBusy && pendingCalls.isEmpty();
    }

    /** A call that waits for the connection. Immutable. */
    private record PendingCall(HttpCall call, long pin, boolean isBound, Optional<ProcessCheck> check) {

        /** Returns whether the call may be sent to the process that was identified as {@code serverId}. */
        private boolean isFor(String serverId) {
            return check.isEmpty() || check.get().serverId().equals(serverId);
        }
    }
}
