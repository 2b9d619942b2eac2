package org.daisyscale.router.internal.peer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage;

/**
 * The messages that wait for one peer. While it is open, a state message takes the place of the older one of its kind,
 * and any other message is kept until it is taken; it refuses one over its bound instead of dropping another. While it
 * is closed it holds nothing. Safe for use by several threads.
 */
final class PeerOutbox {
    private static final Set<Class<? extends PeerMessage>> STATE = Set.of(
            PeerMessage.Ping.class,
            PeerMessage.Pong.class,
            PeerMessage.MapRequest.class,
            PeerMessage.MapUpdate.class,
            PeerMessage.ConfigurationRequest.class,
            PeerMessage.ConfigurationUpdate.class,
            PeerMessage.RangeReport.class,
            PeerMessage.KeyLoadReport.class,
            PeerMessage.KeyMapUpdate.class,
            PeerMessage.StoreProgress.class,
            PeerMessage.OperatorUpdate.class);

    private final int limit;
    private final Map<Object, PeerMessage> waiting = new LinkedHashMap<>();
    private long sequence;
    private int ordinaryCount;
    private boolean isOpen;

    PeerOutbox(int limit) {
        this.limit = limit;
    }

    /** Whether {@code message} tells state, so that losing it to newer state or a lost connection is no harm. */
    static boolean isState(PeerMessage message) {
        return STATE.contains(message.getClass());
    }

    synchronized void open() {
        isOpen = true;
    }

    synchronized void close() {
        isOpen = false;
        waiting.clear();
        ordinaryCount = 0;
    }

    synchronized Offer offer(PeerMessage message) {
        if (!isOpen) {
            return Offer.CLOSED;
        }
        if (isState(message)) {
            waiting.put(stateKey(message), message);
            return Offer.TAKEN;
        }
        if (ordinaryCount >= limit) {
            return Offer.FULL;
        }
        ordinaryCount++;
        waiting.put(sequence++, message);
        return Offer.TAKEN;
    }

    synchronized Optional<PeerMessage> poll() {
        Iterator<PeerMessage> messages = waiting.values().iterator();
        if (!messages.hasNext()) {
            return Optional.empty();
        }
        PeerMessage message = messages.next();
        messages.remove();
        if (!isState(message)) {
            ordinaryCount--;
        }
        return Optional.of(message);
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
        if (message instanceof PeerMessage.StoreProgress progress) {
            return new NamedKey(PeerMessage.StoreProgress.class, progress.prefix());
        }
        return message.getClass();
    }

    private record RangeKey(String service, int range) {}

    private record NamedKey(Class<? extends PeerMessage> kind, String name) {}

    /** What became of an offered message. */
    enum Offer {
        TAKEN,
        FULL,
        CLOSED
    }
}
