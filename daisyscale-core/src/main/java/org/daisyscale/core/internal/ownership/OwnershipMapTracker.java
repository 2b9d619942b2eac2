package org.daisyscale.core.internal.ownership;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.SliceAssignment;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Holds the newest ownership map that this router knows and requests newer ones from peers. Invariants: the version of
 * the map never decreases, and the platform's service accepted each map held here. Not thread-safe; confined to the
 * core thread.
 */
public final class OwnershipMapTracker implements CoreComponent {
    private OwnershipMap map = OwnershipMap.empty();
    private Map<RangeKey, RangeAssignment> ranges = Map.of();
    private Map<String, NavigableMap<Long, SliceAssignment>> slices = Map.of();
    private Map<String, List<SliceAssignment>> settledSlicesByServer = Map.of();
    private boolean hasUnsettled;
    private boolean hasReadPlatform;

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.MapRead read) {
            hasReadPlatform = true;
            adoptIfNewer(read.map(), out);
        } else if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received, out);
        }
    }

    private void handleMessage(Event.PeerMessageReceived received, Outbox out) {
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.MapUpdate update) {
            adoptIfNewer(update.map(), out);
        } else if (message instanceof PeerMessage.MapRequest) {
            out.send(received.from(), new PeerMessage.MapUpdate(map));
        } else if (message instanceof PeerMessage.Ping ping) {
            requestIfNewer(received.from(), ping.mapVersion(), out);
        } else if (message instanceof PeerMessage.Pong pong) {
            requestIfNewer(received.from(), pong.mapVersion(), out);
        }
    }

    private void requestIfNewer(String peer, long version, Outbox out) {
        if (version > map.version()) {
            out.send(peer, new PeerMessage.MapRequest());
        }
    }

    /**
     * Replaces the map by {@code candidate} if it is newer, and reports a violation if the two contradict each other.
     * Only for maps that the platform's service accepted.
     */
    public void adoptIfNewer(OwnershipMap candidate, Outbox out) {
        MapHistoryCheck.findViolation(map, candidate)
                .ifPresent(detail -> out.reportInvariantBroken(MapHistoryCheck.PROMISE, detail));
        if (candidate.version() > map.version()) {
            map = candidate;
            ranges = indexRanges(candidate.ranges());
            slices = indexSlices(candidate.slices());
            settledSlicesByServer = candidate.slices().stream()
                    .filter(SliceAssignment::isSettled)
                    .collect(Collectors.groupingBy(SliceAssignment::server));
            hasUnsettled = hasUnsettled(candidate);
        }
    }

    private static boolean hasUnsettled(OwnershipMap candidate) {
        return !candidate.seats().previous().isEmpty()
                || candidate.slices().stream().anyMatch(slice -> !slice.isSettled())
                || candidate.ranges().stream().anyMatch(range -> !range.isSettled());
    }

    private static Map<RangeKey, RangeAssignment> indexRanges(List<RangeAssignment> assignments) {
        Map<RangeKey, RangeAssignment> index = new TreeMap<>();
        assignments.forEach(range -> index.put(new RangeKey(range.service(), range.range()), range));
        return index;
    }

    private static Map<String, NavigableMap<Long, SliceAssignment>> indexSlices(List<SliceAssignment> assignments) {
        Map<String, NavigableMap<Long, SliceAssignment>> index = new TreeMap<>();
        assignments.forEach(slice -> index.computeIfAbsent(slice.service(), service -> new TreeMap<>())
                .put(slice.startHash(), slice));
        return index;
    }

    /** Returns the newest known map; the empty map before the first. */
    public OwnershipMap map() {
        return map;
    }

    /** Returns the version of the newest known map; 0 before the first. */
    public long version() {
        return map.version();
    }

    /** Returns whether the platform's service has answered a read of the map since the start. */
    public boolean hasReadPlatform() {
        return hasReadPlatform;
    }

    /** Returns the assignment of the dispatch range {@code range} of {@code service}. */
    public Optional<RangeAssignment> range(String service, int range) {
        return Optional.ofNullable(ranges.get(new RangeKey(service, range)));
    }

    /** Returns the slice of {@code service} that contains {@code keyHash}. */
    public Optional<SliceAssignment> slice(String service, long keyHash) {
        NavigableMap<Long, SliceAssignment> ofService = slices.get(service);
        if (ofService == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(ofService.floorEntry(keyHash))
                .map(Map.Entry::getValue)
                .filter(slice -> slice.contains(keyHash));
    }

    /** Returns the slices that {@code server} may be granted now. */
    public List<SliceAssignment> settledSlicesOf(String server) {
        return settledSlicesByServer.getOrDefault(server, List.of());
    }

    /** Returns whether an assignment is unsettled or a change of seats is unconfirmed. */
    public boolean hasUnsettled() {
        return hasUnsettled;
    }
}
