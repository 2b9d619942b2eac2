package org.daisyscale.router.internal.peer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Queues the messages that are pending for one peer. While the outbox is open, a state message replaces the pending one
 * of the same type and subject, or is merged with it if it is a change, and any other message stays until it is polled.
 * A message that is not state is rejected when the limit is reached; no pending message is dropped for it. A closed
 * outbox is empty. Thread-safe.
 */
final class PeerOutbox {
    private static final Set<Class<? extends PeerMessage>> STATE_TYPES = Set.of(
            PeerMessage.Ping.class,
            PeerMessage.Pong.class,
            PeerMessage.MapRequest.class,
            PeerMessage.MapUpdate.class,
            PeerMessage.ConfigurationRequest.class,
            PeerMessage.ConfigurationUpdate.class,
            PeerMessage.RangeReport.class,
            PeerMessage.KeyLoadReport.class,
            PeerMessage.KeyMapUpdate.class,
            PeerMessage.KeyMapChanged.class,
            PeerMessage.KeyMapRequest.class,
            PeerMessage.ViewReport.class,
            PeerMessage.ViewHeld.class,
            PeerMessage.ViewUpdated.class,
            PeerMessage.QuotaReported.class,
            PeerMessage.QuotaGranted.class);

    private final int limit;
    private final Map<Object, PeerMessage> pending = new LinkedHashMap<>();
    private long sequence;
    private int nonStateCount;
    private boolean isOpen;

    PeerOutbox(int limit) {
        this.limit = limit;
    }

    /**
     * Returns whether {@code message} carries state, which may be replaced by newer state or lost with a connection
     * without harm.
     */
    static boolean isState(PeerMessage message) {
        return STATE_TYPES.contains(message.getClass());
    }

    synchronized void open() {
        isOpen = true;
    }

    synchronized void close() {
        isOpen = false;
        pending.clear();
        nonStateCount = 0;
    }

    synchronized OfferResult offer(PeerMessage message) {
        if (!isOpen) {
            return OfferResult.CLOSED;
        }
        if (isState(message)) {
            Object key = stateKey(message);
            pending.merge(key, message, PeerOutbox::merge);
            return OfferResult.ACCEPTED;
        }
        if (nonStateCount >= limit) {
            return OfferResult.FULL;
        }
        nonStateCount++;
        pending.put(sequence++, message);
        return OfferResult.ACCEPTED;
    }

    synchronized Optional<PeerMessage> poll() {
        Iterator<PeerMessage> messages = pending.values().iterator();
        if (!messages.hasNext()) {
            return Optional.empty();
        }
        PeerMessage message = messages.next();
        messages.remove();
        if (!isState(message)) {
            nonStateCount--;
        }
        return Optional.of(message);
    }

    /** Returns what replaces the pending message: the newer one, or both changes as one. */
    private static PeerMessage merge(PeerMessage older, PeerMessage newer) {
        if (older instanceof PeerMessage.KeyMapChanged first
                && newer instanceof PeerMessage.KeyMapChanged second
                && first.change().isFollowedBy(second.change())) {
            return new PeerMessage.KeyMapChanged(first.change().then(second.change()));
        }
        return newer;
    }

    private static Object stateKey(PeerMessage message) {
        if (message instanceof PeerMessage.RangeReport report) {
            return new RangeKey(report.service(), report.range());
        }
        if (message instanceof PeerMessage.KeyLoadReport report) {
            return new NamedKey(PeerMessage.KeyLoadReport.class, report.load().service());
        }
        if (message instanceof PeerMessage.KeyMapUpdate update) {
            return new NamedKey(PeerMessage.KeyMapUpdate.class, update.map().service());
        }
        if (message instanceof PeerMessage.KeyMapChanged changed) {
            return new NamedKey(
                    PeerMessage.KeyMapChanged.class, changed.change().service());
        }
        if (message instanceof PeerMessage.ViewUpdated updated) {
            return new NamedKey(PeerMessage.ViewUpdated.class, updated.update().prefix());
        }
        if (message instanceof PeerMessage.ViewHeld held) {
            return new NamedKey(PeerMessage.ViewHeld.class, held.prefix());
        }
        if (message instanceof PeerMessage.KeyMapRequest request) {
            return new NamedKey(PeerMessage.KeyMapRequest.class, request.service());
        }
        if (message instanceof PeerMessage.ViewReport report) {
            return new NamedKey(PeerMessage.ViewReport.class, report.prefix());
        }
        return message.getClass();
    }

    private record RangeKey(String service, int range) {}

    private record NamedKey(Class<? extends PeerMessage> type, String name) {}

    /** The result of offering a message. */
    enum OfferResult {
        ACCEPTED,
        FULL,
        CLOSED
    }
}
