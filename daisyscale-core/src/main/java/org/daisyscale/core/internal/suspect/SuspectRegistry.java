package org.daisyscale.core.internal.suspect;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.daisyscale.core.Event;
import org.daisyscale.core.Moment;
import org.daisyscale.core.internal.CoreComponent;
import org.daisyscale.core.internal.Outbox;
import org.daisyscale.core.internal.membership.Roster;
import org.daisyscale.core.peer.PeerMessage;

/**
 * Counts, by digest, the requests that were running when their backend servers crashed. An answer clears a digest;
 * after a second crash without an answer in between, every router rejects the digest until the entry expires. Bounded:
 * the oldest entries are evicted first. Not thread-safe; confined to the core thread.
 */
public final class SuspectRegistry implements CoreComponent {
    private static final int MAX_SUSPECTS = 10_000;
    private static final int REJECTION_CRASH_COUNT = 2;
    private static final long RETENTION_NANOS = 600_000_000_000L;

    private final Roster roster;
    private final Map<String, Suspect> suspects = new LinkedHashMap<>();

    /** Creates an empty registry. */
    public SuspectRegistry(Roster roster) {
        this.roster = roster;
    }

    @Override
    public void handle(Event event, Moment now, Outbox out) {
        if (event instanceof Event.PeerMessageReceived received
                && received.message() instanceof PeerMessage.SuspectSeen seen) {
            recordCrashCount(seen.digest(), seen.crashCount(), now);
        }
    }

    /** Records that the request with {@code digest} was running when its server was lost, and notifies the peers. */
    public void recordCrash(String digest, Moment now, Outbox out) {
        int crashCount = crashCount(digest, now) + 1;
        recordCrashCount(digest, crashCount, now);
        for (String peer : roster.peers()) {
            out.send(peer, new PeerMessage.SuspectSeen(digest, crashCount));
        }
    }

    /** Records that a request with the digest was answered, which clears it of suspicion, and notifies the peers. */
    public void recordAnswer(Supplier<String> digestOfRequest, Outbox out) {
        if (suspects.isEmpty()) {
            return;
        }
        String digest = digestOfRequest.get();
        if (suspects.remove(digest) != null) {
            roster.peers().forEach(peer -> out.send(peer, new PeerMessage.SuspectSeen(digest, 0)));
        }
    }

    private void recordCrashCount(String digest, int crashCount, Moment now) {
        suspects.remove(digest);
        if (crashCount > 0) {
            suspects.put(digest, new Suspect(crashCount, now.nanos()));
        }
        if (suspects.size() > MAX_SUSPECTS) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    private int crashCount(String digest, Moment now) {
        Suspect suspect = suspects.get(digest);
        boolean isFresh = suspect != null && now.nanos() - suspect.seenNanos() < RETENTION_NANOS;
        return isFresh ? suspect.crashCount() : 0;
    }

    /** Returns whether requests with the digest are rejected. */
    public boolean isRejected(Supplier<String> digest, Moment now) {
        return !suspects.isEmpty() && crashCount(digest.get(), now) >= REJECTION_CRASH_COUNT;
    }

    private record Suspect(int crashCount, long seenNanos) {}
}
