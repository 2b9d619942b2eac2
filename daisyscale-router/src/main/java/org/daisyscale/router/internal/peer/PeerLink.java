package org.daisyscale.router.internal.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.daisyscale.codec.CodecException;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.Event;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.router.internal.duty.Backoff;
import org.tinylog.Logger;

/**
 * Manages the two connections with one peer: this router dials the outbound connection, on which it sends, and accepts
 * the inbound connection, on which it receives. The peer counts as connected while both are up. When one ends, the
 * other is closed too, so that both sides detect the disconnect. Each message that is not state and cannot be delivered
 * is followed by a {@link Event.PeerDisconnected}.
 *
 * <p>{@link #send} is thread-safe; all other methods are confined to the event loop's thread.
 */
final class PeerLink {
    private final String peer;
    private final EventLoop loop;
    private final PeerDialer dialer;
    private final PeerPipelines pipelines;
    private final PeerCodec codec;
    private final FrameEncoder encoder;
    private final PeerSettings settings;
    private final Consumer<Event> events;
    private final PeerOutbox outbox;
    private final Backoff backoff;
    private final AtomicBoolean isDrainPending = new AtomicBoolean();
    private final AtomicBoolean isResetPending = new AtomicBoolean();
    private InetSocketAddress address;
    private Channel dialing;
    private Channel outbound;
    private Channel inbound;
    private Future<?> redial;
    private boolean isConnected;

    PeerLink(
            String peer,
            EventLoop loop,
            PeerDialer dialer,
            PeerPipelines pipelines,
            PeerCodec codec,
            FrameEncoder encoder,
            PeerSettings settings,
            Consumer<Event> events) {
        this.peer = peer;
        this.loop = loop;
        this.dialer = dialer;
        this.pipelines = pipelines;
        this.codec = codec;
        this.encoder = encoder;
        this.settings = settings;
        this.events = events;
        this.outbox = new PeerOutbox(settings.outboxLimit());
        this.backoff = new Backoff(settings.minRedialMillis(), settings.maxRedialMillis());
    }

    /** Queues {@code message}. Resets the link when a message that is not state cannot be queued. */
    void send(PeerMessage message) {
        PeerOutbox.OfferResult result = outbox.offer(message);
        if (result == PeerOutbox.OfferResult.ACCEPTED) {
            executeUnlessPending(isDrainPending, this::drain);
        } else if (!PeerOutbox.isState(message)) {
            executeUnlessPending(isResetPending, () -> resetAfterLoss(result));
        }
    }

    /** Sets the peer's address; when it differs from the current one, closes the outbound connection and dials anew. */
    void setAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        closeOutbound();
        backoff.reset();
        dial();
    }

    /** Stops dialing and closes both connections. */
    void disconnect() {
        address = null;
        if (redial != null) {
            redial.cancel(false);
            redial = null;
        }
        closeOutbound();
        closeInbound();
        updateConnected();
    }

    /** Returns whether the link has no address and no open connection. */
    boolean isIdle() {
        return address == null && inbound == null && outbound == null;
    }

    /** Replaces the inbound connection by {@code channel}, which the peer dialed. */
    void acceptInbound(Channel channel) {
        closeInbound();
        updateConnected();
        inbound = channel;
        pipelines.startMessages(channel, peer, new PeerFrameHandler(this::receive, () -> {}));
        channel.closeFuture().addListener(closed -> onInboundClosed(channel));
        updateConnected();
    }

    private void dial() {
        if (address == null || dialing != null || outbound != null) {
            return;
        }
        Channel channel = dialer.dial(peer, address, (authenticated, id) -> acceptOutbound(authenticated));
        dialing = channel;
        channel.closeFuture().addListener(closed -> onOutboundClosed(channel));
    }

    private void acceptOutbound(Channel channel) {
        if (channel != dialing) {
            channel.close();
            return;
        }
        dialing = null;
        outbound = channel;
        backoff.reset();
        pipelines.startMessages(channel, peer, new PeerFrameHandler(this::rejectFrame, this::drain));
        outbox.open();
        updateConnected();
    }

    private void receive(byte[] frame) {
        PeerMessage message = codec.decode(frame);
        events.accept(new Event.PeerMessageReceived(peer, message));
    }

    private void rejectFrame(byte[] frame) {
        String detail = "received %d bytes on an outbound connection".formatted(frame.length);
        throw new PeerException(PeerErrorCode.BAD_FRAME, detail, null);
    }

    private void drain() {
        Channel channel = outbound;
        if (channel == null) {
            return;
        }
        while (channel.isWritable()) {
            Optional<PeerMessage> message = outbox.poll();
            if (message.isEmpty()) {
                break;
            }
            write(channel, message.get());
        }
        channel.flush();
    }

    private void write(Channel channel, PeerMessage message) {
        try {
            byte[] bytes = encoder.encode(message);
            if (bytes.length > settings.maxFrameBytes()) {
                String detail =
                        "%s message of %d bytes".formatted(message.getClass().getSimpleName(), bytes.length);
                throw new PeerException(PeerErrorCode.BAD_FRAME, detail, null);
            }
            channel.write(Unpooled.wrappedBuffer(bytes));
        } catch (CodecException | PeerException e) {
            Logger.error(
                    "peer-message-not-sent code={} peer={}: {}", e.errorCode().code(), peer, e.getMessage());
            resetUnlessState(message);
        }
    }

    private void resetUnlessState(PeerMessage message) {
        if (!PeerOutbox.isState(message)) {
            reset();
        }
    }

    private void resetAfterLoss(PeerOutbox.OfferResult result) {
        if (result == PeerOutbox.OfferResult.FULL) {
            PeerErrorCode code = PeerErrorCode.OUTBOX_FULL;
            Logger.warn("peer-connection-closed code={} peer={}: {}", code.code(), peer, code.summary());
        }
        reset();
    }

    private void reset() {
        boolean wasConnected = isConnected;
        closeOutbound();
        closeInbound();
        updateConnected();
        if (!wasConnected) {
            events.accept(new Event.PeerDisconnected(peer));
        }
        scheduleRedial();
    }

    private void onOutboundClosed(Channel channel) {
        if (channel == dialing) {
            dialing = null;
        } else if (channel == outbound) {
            closeOutbound();
            updateConnected();
        }
        scheduleRedial();
    }

    private void onInboundClosed(Channel channel) {
        if (channel == inbound) {
            closeInbound();
            updateConnected();
        }
    }

    private void updateConnected() {
        boolean isUp = outbound != null && inbound != null;
        if (isUp == isConnected) {
            return;
        }
        isConnected = isUp;
        if (isUp) {
            events.accept(new Event.PeerConnected(peer));
        } else {
            closeOutbound();
            closeInbound();
            events.accept(new Event.PeerDisconnected(peer));
            scheduleRedial();
        }
    }

    private void closeOutbound() {
        Channel oldOutbound = outbound;
        Channel oldDialing = dialing;
        outbound = null;
        dialing = null;
        outbox.close();
        closeIfPresent(oldOutbound);
        closeIfPresent(oldDialing);
    }

    private void closeInbound() {
        Channel oldInbound = inbound;
        inbound = null;
        closeIfPresent(oldInbound);
    }

    private static void closeIfPresent(Channel channel) {
        if (channel != null) {
            channel.close();
        }
    }

    private void scheduleRedial() {
        if (address == null || redial != null || dialing != null || outbound != null || loop.isShuttingDown()) {
            return;
        }
        redial = loop.schedule(this::redialNow, backoff.nextMillis(), TimeUnit.MILLISECONDS);
    }

    private void redialNow() {
        redial = null;
        dial();
    }

    private void executeUnlessPending(AtomicBoolean isPending, Runnable task) {
        if (isPending.compareAndSet(false, true)) {
            loop.execute(() -> {
                isPending.set(false);
                task.run();
            });
        }
    }
}
