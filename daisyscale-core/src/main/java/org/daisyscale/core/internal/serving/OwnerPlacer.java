package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Sends a request to the server that owns its key. Requests that the owner can't serve in time, as with hot keys, and
 * requests whose owner is lost are rejected at once; requests for a range that moves between two owners wait. Not
 * thread-safe; confined to the core thread.
 */
final class OwnerPlacer implements Placer {
    /**
     * Fraction of the drain time during which a leaving owner is still used, from the earliest moment at which its
     * report may have been accepted; the rest covers the way to the server.
     */
    private static final double LEAVING_FRACTION = 0.7;
    /**
     * Fraction of the evacuation time during which owners there are still used, from the earliest moment at which the
     * evacuation may have been acknowledged; the rest covers reports that are late and the way to the server.
     */
    private static final double EVACUATED_FRACTION = 0.7;
    /** Interval between attempts to place a request for a moving range, in milliseconds; a new key map comes first. */
    private static final long MOVING_RANGE_RECHECK_MILLIS = 60;
    /** Limit of the wait for late grants, in milliseconds; stands for the longest hold where that is not known. */
    private static final long MAX_WAIT_MILLIS = 10_000;
    /** Retry-after advice without an owner, in milliseconds; a lost owner's range is back within seconds. */
    private static final long NO_OWNER_RETRY_AFTER_MILLIS = 600;

    /** Backoff before a server that rejected a request as not the owner gets the request again, in milliseconds. */
    private static final long NOT_OWNER_BACKOFF_MILLIS = 100;

    /** Above 1: only the owner can serve a key, and a late answer is better than none while the queue is short. */
    private static final double OBJECTIVE_FRACTION = 1.2;

    private final FleetView fleet;

    OwnerPlacer(FleetView fleet) {
        this.fleet = fleet;
    }

    @Override
    public Placement place(OpenRequest request, long nowNanos) {
        Optional<KeyAssignment> found = fleet.keyMap(request.service())
                .flatMap(map -> map.find(request.head().key()));
        if (found.isEmpty()) {
            return rejectNoOwner("the service has no key map yet");
        }
        return found.get().isSettled()
                ? placeAtOwner(found.get().owner(), request, nowNanos)
                : placeAtPredecessor(found.get(), request, nowNanos);
    }

    @Override
    public double objectiveFraction() {
        return OBJECTIVE_FRACTION;
    }

    private Placement placeAtOwner(Owner owner, OpenRequest request, long nowNanos) {
        return view(owner)
                .map(view -> placeAt(view, request, nowNanos))
                .orElseGet(() -> rejectNoOwner("owner=" + owner.serverId() + " is not registered"));
    }

    /**
     * Places the request at a predecessor, which serves a moving range until it gives the range up or its grant ends,
     * and rejects requests from then on. If no predecessor can be used any more, the request waits for the new owner,
     * which gets the range only when no grant to a predecessor may take effect.
     */
    private Placement placeAtPredecessor(KeyAssignment assignment, OpenRequest request, long nowNanos) {
        for (Owner predecessor : assignment.predecessors()) {
            Placement placement = view(predecessor)
                    .filter(view -> !request.isNotOwner(view))
                    .map(view -> placeAt(view, request, nowNanos))
                    .orElse(null);
            if (placement instanceof Placement.Send) {
                return placement;
            }
        }
        boolean mayBeServed = assignment.predecessors().stream()
                .flatMap(predecessor -> view(predecessor).stream())
                .anyMatch(view -> !request.isNotOwner(view) && !isGracePeriodOver(view, nowNanos));
        long lateGrantMillis =
                mayBeServed ? 0 : fleet.lateGrants(request.service()).leftMillis(assignment, nowNanos);
        long waitMillis = Math.max(MOVING_RANGE_RECHECK_MILLIS, Math.min(lateGrantMillis, MAX_WAIT_MILLIS));
        return new Placement.Wait(
                nowNanos + waitMillis * 1_000_000L,
                CoreErrorCode.NO_OWNER,
                Math.max(NO_OWNER_RETRY_AFTER_MILLIS, waitMillis));
    }

    private Optional<ServerView> view(Owner owner) {
        return fleet.servers().find(owner.serverId()).filter(view -> owner.isIncarnation(view.server()));
    }

    private Placement placeAt(ServerView view, OpenRequest request, long nowNanos) {
        long retryNanos = request.notOwnerNanos() + NOT_OWNER_BACKOFF_MILLIS * 1_000_000L;
        if (request.isNotOwner(view) && retryNanos - nowNanos > 0) {
            return new Placement.Wait(retryNanos, CoreErrorCode.NO_OWNER, NO_OWNER_RETRY_AFTER_MILLIS);
        }
        String serverId = view.server().id();
        if (isGracePeriodOver(view, nowNanos)) {
            return rejectNoOwner("owner=" + serverId + " is draining or in an evacuated data centre");
        }
        long pauseLeftMillis = fleet.notices().pauseLeftMillis(view.server(), nowNanos);
        if (pauseLeftMillis > 0) {
            return new Placement.Reject(
                    CoreErrorCode.OVERLOADED, "owner=" + serverId + " wants no requests now", pauseLeftMillis);
        }
        if (view.isPaused(nowNanos) || (view.isUnresponsive(nowNanos) && view.ownInFlightCount() > 1)) {
            return rejectNoOwner("owner=" + serverId + " is unreachable or unresponsive");
        }
        int quota = fleet.coldQuota(view, nowNanos);
        if (!view.coldStartLimiter().allowsRequest(nowNanos, quota)) {
            long nextAllowedNanos = view.coldStartLimiter().nextAllowedNanos(nowNanos, quota);
            return new Placement.Wait(
                    nextAllowedNanos, CoreErrorCode.OVERLOADED, (nextAllowedNanos - nowNanos) / 1_000_000L);
        }
        return new Placement.Send(view);
    }

    private boolean isGracePeriodOver(ServerView view, long nowNanos) {
        long leavingMillis = (long) (fleet.settings().drainMillis() * LEAVING_FRACTION);
        long evacuatedMillis = (long) (fleet.settings().evacuateMillis() * EVACUATED_FRACTION);
        return fleet.isLeavingFor(view, leavingMillis, nowNanos)
                || fleet.servers().isEvacuatedFor(view, evacuatedMillis, nowNanos);
    }

    private static Placement rejectNoOwner(String detail) {
        return new Placement.Reject(CoreErrorCode.NO_OWNER, detail, NO_OWNER_RETRY_AFTER_MILLIS);
    }
}
