package org.daisyscale.testkit.capacity;

import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.peer.PeerMessage;

/** Counts messages and their bytes on the wire, and calls to the platform's service. Not safe for several threads. */
final class Traffic {
    private static final int FRAME_HEADER_BYTES = 4;

    private final PeerCodec codec = new PeerCodec(text -> {
        throw new IllegalStateException("no configuration is sent");
    });
    private final Map<String, Count> countByType = new TreeMap<>();
    private final Map<String, Integer> calls = new TreeMap<>();

    /** Counts {@code message} as sent. */
    void note(PeerMessage message) {
        long bytes = codec.encode(message).length + FRAME_HEADER_BYTES;
        Count count = new Count(1, bytes);
        countByType.merge(message.getClass().getSimpleName(), count, Count::plus);
    }

    void noteCall(String name) {
        calls.merge(name, 1, Integer::sum);
    }

    void clear() {
        countByType.clear();
        calls.clear();
    }

    long messages(Class<? extends PeerMessage> type) {
        return countByType.getOrDefault(type.getSimpleName(), Count.NONE).messages();
    }

    long totalBytes() {
        return countByType.values().stream().mapToLong(Count::bytes).sum();
    }

    long totalMessages() {
        return countByType.values().stream().mapToLong(Count::messages).sum();
    }

    Map<String, Count> byType() {
        return countByType;
    }

    Map<String, Integer> calls() {
        return calls;
    }

    /** Messages and their bytes. Immutable. */
    record Count(long messages, long bytes) {
        static final Count NONE = new Count(0, 0);

        Count plus(Count other) {
            return new Count(messages + other.messages, bytes + other.bytes);
        }
    }
}
