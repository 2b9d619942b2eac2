package org.daisyscale.cli.internal.decision;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.status.PeerStatus;
import org.daisyscale.core.status.RouterStatus;

/**
 * The progress of a configuration revision towards being in force at all routers. The revision of a router is the
 * newest one that the router itself or a peer in contact with it reports. Immutable.
 *
 * @param revision the awaited revision
 * @param inForce the routers at this revision or a later one
 * @param behind the live routers at an earlier revision
 * @param unheard the routers on the list of VMs that no router has contact with; the wait ignores them
 */
public record RolloutProgress(long revision, List<String> inForce, List<String> behind, List<String> unheard) {
    private static final long UNHEARD = -1;

    public RolloutProgress {
        inForce = List.copyOf(inForce);
        behind = List.copyOf(behind);
        unheard = List.copyOf(unheard);
    }

    /** Returns the progress of {@code revision} according to {@code statuses}. */
    public static RolloutProgress of(long revision, Collection<RouterStatus> statuses) {
        Map<String, Long> revisions = new TreeMap<>();
        for (RouterStatus status : statuses) {
            revisions.merge(status.router(), status.configurationRevision(), Math::max);
            status.peers().forEach(peer -> revisions.merge(peer.router(), revisionOf(peer), Math::max));
        }
        return new RolloutProgress(
                revision,
                routers(revisions, revision, Long.MAX_VALUE),
                routers(revisions, 0, revision - 1),
                routers(revisions, UNHEARD, UNHEARD));
    }

    /** Returns whether the revision is in force at every live router. */
    public boolean isDone() {
        return behind.isEmpty() && !inForce.isEmpty();
    }

    /** Returns the progress as one line of text. */
    public String describe() {
        String done = "revision %d in force at %d of %d live routers"
                .formatted(revision, inForce.size(), inForce.size() + behind.size());
        String late = behind.isEmpty() ? "" : "; not at " + String.join(", ", behind);
        String lost = unheard.isEmpty() ? "" : "; not heard: " + String.join(", ", unheard);
        return done + late + lost;
    }

    private static long revisionOf(PeerStatus peer) {
        return peer.isHeard() ? peer.configurationRevision() : UNHEARD;
    }

    private static List<String> routers(Map<String, Long> revisions, long lowest, long highest) {
        return revisions.entrySet().stream()
                .filter(entry -> lowest <= entry.getValue() && entry.getValue() <= highest)
                .map(Map.Entry::getKey)
                .toList();
    }
}
