package org.daisyscale.core.internal.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.ownership.OwnershipMapTracker;
import org.daisyscale.core.internal.ownership.RangeKey;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Records the latest reports of dispatchers about backend servers, and which servers confirmed giving up slices and
 * which routers released dispatch ranges. Every router keeps these records, so that a new controller starts with them.
 * Not thread-safe; confined to the core thread.
 */
public final class FleetReports implements CoreComponent {
    private static final long MAX_REPORT_AGE_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long REPORT_RETENTION_NANOS = 30_000_000_000L;

    private final OwnershipMapTracker maps;
    private final Map<String, ReportedServer> servers = new TreeMap<>();
    private final Map<RangeKey, List<PeerMessage.HotKey>> hotKeysByRange = new TreeMap<>();
    private final Map<String, Long> givenUpVersionByServer = new TreeMap<>();
    private final Map<RangeKey, Long> releasedEpochByRange = new TreeMap<>();

    /**
     * Creates an instance without reports. Accepts a report only from the dispatcher of its range in the newest map.
     */
    public FleetReports(OwnershipMapTracker maps) {
        this.maps = maps;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received.from(), received.message(), now);
        }
    }

    private void handleMessage(String from, PeerMessage message, Moment now) {
        if (message instanceof PeerMessage.RangeReport report && isDispatcher(from, report)) {
            recordReport(report, now);
        } else if (message instanceof PeerMessage.GrantGivenUp givenUp) {
            givenUpVersionByServer.merge(givenUp.server(), givenUp.mapVersion(), Math::max);
        } else if (message instanceof PeerMessage.RangeReleased released) {
            RangeKey key = new RangeKey(released.service(), released.range());
            releasedEpochByRange.merge(key, released.epoch(), Math::max);
        }
    }

    /**
     * Returns whether {@code router} is the dispatcher of the reported range. A former dispatcher's view of the
     * servers may be wrong.
     */
    private boolean isDispatcher(String router, PeerMessage.RangeReport report) {
        return maps.range(report.service(), report.range())
                .filter(range -> range.router().equals(router))
                .isPresent();
    }

    /**
     * Returns how long {@code server} has been silent, in milliseconds, according to a report that is not stale; empty
     * if there is none.
     */
    public OptionalLong silentMillis(String server, Moment now) {
        ReportedServer reported = servers.get(server);
        long ageMillis = reported == null ? Long.MAX_VALUE : (now.nanos() - reported.receivedNanos()) / NANOS_PER_MILLI;
        if (ageMillis > MAX_REPORT_AGE_MILLIS) {
            return OptionalLong.empty();
        }
        long silentMillis = reported.view().silentMillis();
        return OptionalLong.of(silentMillis > Long.MAX_VALUE - ageMillis ? silentMillis : silentMillis + ageMillis);
    }

    /**
     * Returns whether the dispatcher of {@code range} reports servers and all of them, by reports that are not stale,
     * have been silent for at least {@code limitMillis}.
     */
    public boolean areAllServersSilent(RangeKey range, long limitMillis, Moment now) {
        List<ReportedServer> ofRange = servers.values().stream()
                .filter(reported -> reported.range().equals(range))
                .toList();
        return !ofRange.isEmpty()
                && ofRange.stream()
                        .allMatch(reported ->
                                silentMillis(reported.view().server(), now).orElse(0) >= limitMillis);
    }

    /**
     * Adds a report, which contains only what changed. Drops servers of the range that its dispatcher has not reported
     * for {@link #REPORT_RETENTION_NANOS}.
     */
    private void recordReport(PeerMessage.RangeReport report, Moment now) {
        RangeKey key = new RangeKey(report.service(), report.range());
        report.servers().forEach(view -> servers.put(view.server(), new ReportedServer(key, view, now.nanos())));
        servers.values()
                .removeIf(reported -> reported.range().equals(key)
                        && now.nanos() - reported.receivedNanos() > REPORT_RETENTION_NANOS);
        if (!report.hotKeyHashes().isEmpty()) {
            hotKeysByRange.put(key, report.hotKeyHashes());
        }
    }

    /** Returns the latest report about {@code server}. */
    public Optional<ReportedServer> server(String server) {
        return Optional.ofNullable(servers.get(server));
    }

    /**
     * Returns the load of each slice of {@code service} by its first hash, in microseconds of service time per second.
     */
    public Map<Long, Double> sliceMicros(String service) {
        Map<Long, Double> microsByStart = new TreeMap<>();
        servers.values().stream()
                .filter(reported -> reported.range().service().equals(service))
                .flatMap(reported -> reported.view().slices().stream())
                .forEach(slice -> microsByStart.merge(slice.startHash(), slice.busyMicrosPerSecond(), Double::sum));
        return microsByStart;
    }

    /**
     * Returns the load of the hottest keys of {@code service} by key hash, in microseconds of service time per second.
     */
    public Map<Long, Double> hotKeyMicros(String service) {
        Map<Long, Double> microsByKeyHash = new TreeMap<>();
        hotKeysByRange.entrySet().stream()
                .filter(entry -> entry.getKey().service().equals(service))
                .flatMap(entry -> entry.getValue().stream())
                .forEach(key -> microsByKeyHash.merge(key.keyHash(), key.busyMicrosPerSecond(), Double::sum));
        return microsByKeyHash;
    }

    /** Returns the highest map version with which {@code server} confirmed its grants; 0 if none. */
    public long givenUpVersion(String server) {
        return givenUpVersionByServer.getOrDefault(server, 0L);
    }

    /** Returns the highest epoch of {@code range} for which its former router confirmed the release; 0 if none. */
    public long releasedEpoch(RangeKey range) {
        return releasedEpochByRange.getOrDefault(range, 0L);
    }
}
