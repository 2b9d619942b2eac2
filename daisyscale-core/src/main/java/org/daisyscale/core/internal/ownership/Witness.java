package org.daisyscale.core.internal.ownership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.TimingSettings;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.TimerQueue;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Collects evidence that no newer map is in force. This router may act on its map only while, within the last witness
 * period, a majority of the seats answered a ping and knew no newer map. Evidence counts from before the ping was
 * sent.
 *
 * <p>Invariant: once a majority of the seats has confirmed that it knows a map, every router that acts on an older map
 * stops within one witness period, since any two majorities of the seats share a seat. Not thread-safe; confined to
 * the core thread.
 */
public final class Witness implements CoreComponent {
    private static final long NEVER = Long.MIN_VALUE;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long PER_MILLE = 1_000L;

    private final String routerId;
    private final TimingSettings timing;
    private final Roster roster;
    private final OwnershipMapTracker maps;
    private final ConfigurationTracker configuration;
    private final Map<String, PeerEvidence> evidenceByPeer = new TreeMap<>();
    private boolean isStopping;

    /** Creates a witness without evidence and schedules its pings. */
    public Witness(
            String routerId,
            TimingSettings timing,
            Roster roster,
            OwnershipMapTracker maps,
            ConfigurationTracker configuration,
            TimerQueue timers) {
        this.routerId = routerId;
        this.timing = timing;
        this.roster = roster;
        this.maps = maps;
        this.configuration = configuration;
        timers.scheduleRepeating(timing.pingIntervalMillis(), this::pingAll);
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.StopRequested) {
            isStopping = true;
        } else if (event instanceof Event.PeerDisconnected disconnected) {
            markDisconnected(disconnected.peer());
        } else if (event instanceof Event.PeerMessageReceived received) {
            handleMessage(received, now, out);
        }
    }

    private void markDisconnected(String peer) {
        evidenceByPeer.computeIfPresent(peer, (id, evidence) -> evidence.disconnected());
    }

    private void handleMessage(Event.PeerMessageReceived received, Moment now, Outbox out) {
        if (received.message() instanceof PeerMessage.Ping ping) {
            out.send(received.from(), pongFor(ping));
        } else if (received.message() instanceof PeerMessage.Pong pong) {
            evidenceByPeer.merge(received.from(), PeerEvidence.of(pong, now), PeerEvidence::newest);
        }
    }

    private PeerMessage.Pong pongFor(PeerMessage.Ping ping) {
        return new PeerMessage.Pong(ping.sentNanos(), maps.version(), configuration.revision(), isStopping);
    }

    private void pingAll(Moment now, Outbox out) {
        for (String peer : peersAndSeats()) {
            ping(peer, now, out);
        }
    }

    /** Sends a ping to {@code peer} now. */
    public void ping(String peer, Moment now, Outbox out) {
        out.send(peer, new PeerMessage.Ping(now.nanos(), maps.version(), configuration.revision()));
    }

    private Set<String> peersAndSeats() {
        Set<String> peers = new TreeSet<>(roster.peers());
        peers.addAll(maps.map().seats().current());
        peers.addAll(maps.map().seats().previous());
        peers.remove(routerId);
        return peers;
    }

    /**
     * Returns until when this router may act on its map, on its monotonic clock in nanoseconds; a time in the past if
     * it may not.
     */
    public long authorityEndsNanos(Moment now) {
        OwnershipMap map = maps.map();
        long end = majorityEvidenceEnd(map.seats().current(), now);
        if (!map.seats().previous().isEmpty()) {
            end = Math.min(end, majorityEvidenceEnd(map.seats().previous(), now));
        }
        return end;
    }

    /** Returns whether this router may act on its map at {@code now}. */
    public boolean hasAuthority(Moment now) {
        return authorityEndsNanos(now) > now.nanos();
    }

    private long majorityEvidenceEnd(List<String> seats, Moment now) {
        if (seats.isEmpty()) {
            return NEVER;
        }
        List<Long> evidenceNanos = new ArrayList<>();
        for (String seat : seats) {
            evidenceNanos.add(evidenceNanos(seat, now));
        }
        evidenceNanos.sort(Collections.reverseOrder());
        long oldestOfMajority = evidenceNanos.get(seats.size() / 2);
        return oldestOfMajority == NEVER ? NEVER : oldestOfMajority + shortenedPeriodNanos();
    }

    private long evidenceNanos(String seat, Moment now) {
        if (seat.equals(routerId)) {
            return now.nanos();
        }
        PeerEvidence evidence = evidenceByPeer.get(seat);
        boolean isEvidence = evidence != null && evidence.mapVersion() <= maps.version();
        return isEvidence ? evidence.pingSentNanos() : NEVER;
    }

    private long shortenedPeriodNanos() {
        return timing.witnessPeriodMillis() * NANOS_PER_MILLI * (PER_MILLE - timing.driftPerMille()) / PER_MILLE;
    }

    /**
     * Returns whether a majority of the seats knows map {@code version} or a newer one; during a change of seats, a
     * majority of both the current and the previous seats. A seat whose VM is deregistered counts, since it no longer
     * gives evidence to any router.
     */
    public boolean isConfirmed(long version, Moment now) {
        return isConfirmedBy(maps.map().seats().current(), version, now)
                && (maps.map().seats().previous().isEmpty()
                        || isConfirmedBy(maps.map().seats().previous(), version, now));
    }

    private boolean isConfirmedBy(List<String> seats, long version, Moment now) {
        long confirmedCount = seats.stream()
                .filter(seat -> roster.isDeregistered(seat, now) || knownVersion(seat) >= version)
                .count();
        return confirmedCount > seats.size() / 2;
    }

    private long knownVersion(String seat) {
        if (seat.equals(routerId)) {
            return maps.version();
        }
        return evidence(seat).map(PeerEvidence::mapVersion).orElse(0L);
    }

    /** Returns the newest evidence from {@code peer}. */
    public Optional<PeerEvidence> evidence(String peer) {
        return Optional.ofNullable(evidenceByPeer.get(peer));
    }

    /** Returns whether {@code router} is this router or answered a ping that was sent within the silence limit. */
    public boolean isHeard(String router, Moment now) {
        return router.equals(routerId) || silentMillis(router, now) < timing.silenceLimitMillis();
    }

    /** Returns whether {@code router} last reported that it is in a planned stop. */
    public boolean isStopping(String router) {
        return router.equals(routerId)
                ? isStopping
                : evidence(router).map(PeerEvidence::isStopping).orElse(false);
    }

    /**
     * Returns the time since the last answered ping to {@code peer} was sent, in milliseconds; {@link Long#MAX_VALUE}
     * if {@code peer} has answered none.
     */
    public long silentMillis(String peer, Moment now) {
        return evidence(peer)
                .map(evidence -> (now.nanos() - evidence.pingSentNanos()) / NANOS_PER_MILLI)
                .orElse(Long.MAX_VALUE);
    }
}
