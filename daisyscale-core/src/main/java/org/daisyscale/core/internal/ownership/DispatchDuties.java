package org.daisyscale.core.internal.ownership;

import java.util.List;
import java.util.Optional;
import org.daisyscale.core.Moment;
import org.daisyscale.core.document.ServicePolicy;
import org.daisyscale.core.internal.configuration.ConfigurationTracker;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.membership.VmRecord;
import org.daisyscale.core.ownership.KeyHash;
import org.daisyscale.core.ownership.RangeAssignment;

/**
 * Determines which dispatch ranges this router serves and which backend servers belong to them. Invariant: this router
 * serves a range only while the map assigns the range to it, no other router may still serve the range, and its
 * renewal authority holds; the exception is a stand-in for a silent dispatcher, see {@link #standIn}. Not thread-safe;
 * confined to the core thread.
 */
public final class DispatchDuties {
    private static final long MAX_TAKEOVER_MILLIS = 3_000;

    private final String routerId;
    private final Roster roster;
    private final OwnershipMapTracker maps;
    private final Witness witness;
    private final RenewalAuthority authority;
    private final ConfigurationTracker configuration;

    /** Creates an instance that reads the state of the given parts. */
    public DispatchDuties(
            String routerId,
            Roster roster,
            OwnershipMapTracker maps,
            Witness witness,
            RenewalAuthority authority,
            ConfigurationTracker configuration) {
        this.routerId = routerId;
        this.roster = roster;
        this.maps = maps;
        this.witness = witness;
        this.authority = authority;
        this.configuration = configuration;
    }

    /** Returns whether this router may issue permits of {@code range} now. */
    public boolean mayDispatch(RangeKey range, Moment now) {
        return (isAssigned(range) || isStandIn(range, now)) && authority.holds(now);
    }

    /**
     * Returns the router that stands in for the dispatcher of {@code range}: the first reachable seat, once the
     * dispatcher has been silent for longer than a takeover takes, as in an outage of the platform's service; empty
     * before. A stand-in dispatches idempotent requests only. Two routers may dispatch the range for a while, which
     * only makes its limits less precise; requests that must not run twice wait for the takeover.
     */
    public Optional<String> standIn(RangeKey range, Moment now) {
        return maps.range(range.service(), range.range())
                .filter(assignment -> isSilentBeyondTakeover(assignment, now))
                .flatMap(assignment -> firstHeardSeat(now));
    }

    /** Returns whether this router is the stand-in for the dispatcher of {@code range}. */
    public boolean isStandIn(RangeKey range, Moment now) {
        return standIn(range, now).filter(routerId::equals).isPresent();
    }

    private boolean isSilentBeyondTakeover(RangeAssignment assignment, Moment now) {
        String router = assignment.router();
        return !router.equals(routerId) && witness.silentMillis(router, now) > MAX_TAKEOVER_MILLIS;
    }

    /** Returns whether the newest map assigns {@code range} to this router and the assignment is settled. */
    public boolean isAssigned(RangeKey range) {
        return maps.range(range.service(), range.range())
                .filter(assignment -> assignment.router().equals(routerId) && assignment.isSettled())
                .isPresent();
    }

    /** Returns the ranges with a settled assignment to this router in the newest map. */
    public List<RangeKey> assignedRanges() {
        return maps.map().ranges().stream()
                .filter(assignment -> assignment.router().equals(routerId) && assignment.isSettled())
                .map(RangeKey::of)
                .toList();
    }

    /** Returns the range of {@code service} that {@code server} belongs to. */
    public RangeKey rangeOf(String service, String server) {
        int rangeCount = configuration
                .policies()
                .service(service)
                .map(ServicePolicy::dispatchRangeCount)
                .orElse(1);
        return new RangeKey(service, KeyHash.bucket(server, rangeCount));
    }

    /** Returns the listed backend servers of {@code range}. */
    public List<VmRecord> serversOf(RangeKey range) {
        return roster.serversOf(range.service()).stream()
                .filter(server -> rangeOf(range.service(), server.id()).equals(range))
                .toList();
    }

    /**
     * Returns whether this router probes {@code server} and renews its grants: the dispatcher of the server's range is
     * responsible or, while that router is silent, the first reachable seat. Several routers may be responsible for
     * one server for a while, which is harmless.
     */
    public boolean isResponsibleFor(VmRecord server, Moment now) {
        String service = roster.serviceOf(server);
        if (service.isEmpty()) {
            return false;
        }
        RangeKey key = rangeOf(service, server.id());
        Optional<RangeAssignment> assignment = maps.range(key.service(), key.range());
        if (assignment.isPresent() && witness.isHeard(assignment.get().router(), now)) {
            return assignment.get().router().equals(routerId);
        }
        return firstHeardSeat(now).filter(routerId::equals).isPresent();
    }

    private Optional<String> firstHeardSeat(Moment now) {
        return maps.map().seats().current().stream()
                .filter(seat -> witness.isHeard(seat, now))
                .findFirst();
    }
}
