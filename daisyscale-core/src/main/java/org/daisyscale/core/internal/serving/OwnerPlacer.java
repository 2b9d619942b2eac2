package org.daisyscale.core.internal.serving;

import java.util.Optional;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Sends a request to the owner of its key. Answers hot keys and lost owners: what the owner can't take in time is
 * refused at once, and a range between two owners is waited for. Owned by the thread that owns the core.
 */
final class OwnerPlacer implements Placer {
    /** How long a leaving owner is still used, as part of the time it may be: the other half is for the way there. */
    private static final double LEAVING_PART = 0.5;
    /** How soon a request on a moving range is looked at again, in milliseconds; a new map comes first. */
    private static final long MOVE_MILLIS = 60;
    /** A lost owner's range is back within seconds; callers come back this much later, in milliseconds. */
    private static final long LOST_OWNER_MILLIS = 600;

    /** After a server said that it isn't the owner, it is asked again this much later, in milliseconds. */
    private static final long DISOWNED_MILLIS = 100;

    /** Only the owner can serve, and a late answer is worth more than none while the queue is short. */
    private static final double OBJECTIVE_PART = 1.2;

    private final FleetView fleet;

    OwnerPlacer(FleetView fleet) {
        this.fleet = fleet;
    }

    @Override
    public Placement place(OpenRequest request, long nowNanos) {
        Optional<KeyAssignment> found = fleet.keyMap(request.service())
                .flatMap(map -> map.find(request.head().key()));
        if (found.isEmpty()) {
            return refuseOwnerless("no key map");
        }
        return found.get().isSettled()
                ? placeAtOwner(found.get().owner(), request, nowNanos)
                : placeAtPredecessor(found.get(), request, nowNanos);
    }

    @Override
    public double objectivePart() {
        return OBJECTIVE_PART;
    }

    private Placement placeAtOwner(Owner owner, OpenRequest request, long nowNanos) {
        return view(owner)
                .map(view -> placeAt(view, request, nowNanos))
                .orElseGet(() -> refuseOwnerless("owner=" + owner.serverId() + " is not registered"));
    }

    /** A predecessor serves a range on its way until it gives it up or its grant ends; then it says so. */
    private Placement placeAtPredecessor(KeyAssignment assignment, OpenRequest request, long nowNanos) {
        for (Owner predecessor : assignment.predecessors()) {
            Placement placement = view(predecessor)
                    .filter(view -> !request.wasDisownedBy(view))
                    .map(view -> placeAt(view, request, nowNanos))
                    .orElse(null);
            if (placement instanceof Placement.Send) {
                return placement;
            }
        }
        return new Placement.Wait(nowNanos + MOVE_MILLIS * 1_000_000L, CoreErrorCode.NO_OWNER, LOST_OWNER_MILLIS);
    }

    private Optional<ServerView> view(Owner owner) {
        return fleet.servers().find(owner.serverId()).filter(view -> owner.isIncarnation(view.server()));
    }

    private Placement placeAt(ServerView view, OpenRequest request, long nowNanos) {
        long askAgainNanos = request.disownedNanos() + DISOWNED_MILLIS * 1_000_000L;
        if (request.wasDisownedBy(view) && askAgainNanos - nowNanos > 0) {
            return new Placement.Wait(askAgainNanos, CoreErrorCode.NO_OWNER, LOST_OWNER_MILLIS);
        }
        String serverId = view.server().id();
        if (isForbidden(view, nowNanos)) {
            return refuseOwnerless("owner=" + serverId + " is leaving");
        }
        if (view.isPaused(nowNanos) || (view.isSilent(nowNanos) && view.ownCount() > 1)) {
            return refuseOwnerless("owner=" + serverId + " is out of reach");
        }
        int share = fleet.coldShare(view, nowNanos);
        if (!view.coldGate().isOpen(nowNanos, share)) {
            long opensNanos = view.coldGate().opensNanos(nowNanos, share);
            return new Placement.Wait(opensNanos, CoreErrorCode.OVERLOADED, (opensNanos - nowNanos) / 1_000_000L);
        }
        return new Placement.Send(view);
    }

    private boolean isForbidden(ServerView view, long nowNanos) {
        long leavingMillis = (long) (fleet.settings().drainMillis() * LEAVING_PART);
        long evacuatedMillis = (long) (fleet.settings().evacuateMillis() * LEAVING_PART);
        return view.isLeavingFor(leavingMillis, nowNanos)
                || fleet.servers().isEvacuatedFor(view, evacuatedMillis, nowNanos);
    }

    private static Placement refuseOwnerless(String detail) {
        return new Placement.Refuse(CoreErrorCode.NO_OWNER, detail, LOST_OWNER_MILLIS);
    }
}
