package org.daisyscale.core.internal.serving;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.LossRecord.LostServer;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent.RequestArrived;

/**
 * Remembers, by fingerprint, the requests that were lost with the servers that ran them: some of them crash each one.
 * Such a request is no longer repeated, and then paused, since every crash also ends the other requests at the server.
 * After each of the first pauses one router tries it once; after that it stays paused until it is forgotten. An answer
 * clears a request.
 *
 * <p>Invariants: at most {@value #MAX_REQUESTS} requests are kept; of those lost with one server, or else of all,
 * the ones lost longest ago are evicted first. What is kept here is told to the other routers at once and stored, see
 * {@link LossStorage}.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class LostRequests {
    private static final int MAX_REQUESTS = 10_000;
    /** Servers lost with a request after which routers don't repeat it; a single loss is mostly the server's own. */
    private static final int MAX_REPEATED_LOSSES = 1;

    /**
     * Limits the losses that are told to the other routers: when many requests are lost together, no single one is the
     * cause, and telling each would burden the controller just then.
     */
    private static final int MAX_TOLD_PER_SECOND = 20;
    /** Delay between the routers that may try a paused request, in milliseconds: the news of a try arrive within. */
    private static final long TRY_INTERVAL_MILLIS = 500;
    /** Limit of the routers between whose tries there is such a delay. */
    private static final int MAX_RANK = 10;

    private final FleetView fleet;
    private final SlidingWindowCounter told = new SlidingWindowCounter(1_000_000_000L);
    private final LossStorage storage = new LossStorage();
    private final Map<Long, RequestLosses> lossesByFingerprint = new LinkedHashMap<>();

    LostRequests(FleetView fleet) {
        this.fleet = fleet;
    }

    /** Records the end of an attempt of {@code request} at {@code server}; returns what has to be told of it. */
    List<ServingAction> recordEnd(OpenRequest request, BackendServer server, AttemptOutcome outcome, long nowNanos) {
        long fingerprint = request.fingerprint();
        if (outcome == AttemptOutcome.LOST && fingerprint != RequestArrived.NO_FINGERPRINT) {
            RequestLosses losses =
                    recordLost(fingerprint, new LostServer(server.id(), server.bornEpochMillis()), nowNanos);
            List<ServingAction> actions = new ArrayList<>();
            if (told.count(nowNanos) < MAX_TOLD_PER_SECOND) {
                told.add(nowNanos);
                actions.add(new ServingAction.ShareNews(
                        new PeerMessage.RequestLost(fingerprint, server.id(), server.bornEpochMillis())));
            }
            store(fingerprint, losses, actions, nowNanos);
            if (!mayRepeat(fingerprint, nowNanos)) {
                actions.add(report(request, nowNanos));
            }
            return actions;
        }
        boolean isAnswer = outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.FAILED;
        return isAnswer ? recordAnswered(fingerprint) : List.of();
    }

    private void store(long fingerprint, RequestLosses losses, List<ServingAction> actions, long nowNanos) {
        if (losses.count() <= MAX_REPEATED_LOSSES) {
            storage.delayFirst(fingerprint, nowNanos);
        } else if (storage.tryStoreRepeated(nowNanos)) {
            losses.markStored();
            actions.add(new ServingAction.StoreLosses(losses.toRecord(fingerprint, nowNanos)));
        }
    }

    private List<ServingAction> recordAnswered(long fingerprint) {
        RequestLosses cleared = lossesByFingerprint.isEmpty() ? null : lossesByFingerprint.remove(fingerprint);
        if (cleared == null) {
            return List.of();
        }
        ServingAction news = new ServingAction.ShareNews(new PeerMessage.RequestAnswered(fingerprint));
        return cleared.isStored()
                ? List.of(news, new ServingAction.StoreLosses(LossRecord.answered(fingerprint)))
                : List.of(news);
    }

    private ServingAction report(OpenRequest request, long nowNanos) {
        String detail = "requestId=%s path=%s serversLost=%d pauseMillis=%d"
                .formatted(
                        request.head().logId(),
                        request.head().path(),
                        lossCount(request.fingerprint(), nowNanos),
                        pauseMillis(request.fingerprint(), nowNanos));
        return new ServingAction.Report("request-lost-repeatedly", detail);
    }

    /** Handles what another router saw. */
    void handle(FleetNews news, long nowNanos) {
        if (news instanceof PeerMessage.RequestLost lost) {
            recordLost(lost.fingerprint(), new LostServer(lost.serverId(), lost.bornEpochMillis()), nowNanos);
        } else if (news instanceof PeerMessage.RequestAnswered answered) {
            lossesByFingerprint.remove(answered.fingerprint());
        }
    }

    /** Handles what the store has about a request. */
    void handle(LossRecord stored, long nowNanos) {
        if (stored.isAnswered()) {
            lossesByFingerprint.remove(stored.fingerprint());
        } else if (stored.ageMillis() < RequestLosses.RETENTION_MILLIS) {
            touch(stored.fingerprint(), nowNanos).merge(stored, nowNanos);
        }
    }

    private RequestLosses recordLost(long fingerprint, LostServer server, long nowNanos) {
        RequestLosses losses = touch(fingerprint, nowNanos);
        losses.add(server, nowNanos);
        return losses;
    }

    /** Returns the losses of the request, which are the last to be evicted from now on. */
    private RequestLosses touch(long fingerprint, long nowNanos) {
        RequestLosses losses = lossesByFingerprint.remove(fingerprint);
        if (losses == null || losses.isOver(nowNanos)) {
            losses = new RequestLosses(nowNanos);
        }
        if (lossesByFingerprint.size() >= MAX_REQUESTS) {
            evictOne();
        }
        lossesByFingerprint.put(fingerprint, losses);
        return losses;
    }

    private void evictOne() {
        long evicted = lossesByFingerprint.entrySet().stream()
                .filter(entry -> entry.getValue().count() <= MAX_REPEATED_LOSSES)
                .findFirst()
                .map(Map.Entry::getKey)
                .orElseGet(() -> lossesByFingerprint.keySet().iterator().next());
        lossesByFingerprint.remove(evicted);
    }

    /** Returns the first losses that are to be stored now. */
    List<ServingAction> takeDue(long nowNanos) {
        List<ServingAction> actions = new ArrayList<>();
        LossStorage.DelayedLoss due = storage.pollDue(nowNanos);
        while (due != null) {
            RequestLosses losses = lossesByFingerprint.get(due.fingerprint());
            if (losses != null && !losses.isStored() && storage.tryStoreFirst(nowNanos)) {
                losses.markStored();
                actions.add(new ServingAction.StoreLosses(losses.toRecord(due.fingerprint(), nowNanos)));
            }
            due = storage.pollDue(nowNanos);
        }
        return actions;
    }

    long nextDueNanos() {
        return storage.nextDueNanos();
    }

    /** Returns whether the request may be sent once more for the same arrival. */
    boolean mayRepeat(long fingerprint, long nowNanos) {
        return lossCount(fingerprint, nowNanos) <= MAX_REPEATED_LOSSES;
    }

    /**
     * Returns how much longer the request is rejected, in milliseconds; 0 when it may be sent. The routers may try a
     * paused request one after the other.
     */
    long pauseMillis(long fingerprint, long nowNanos) {
        return lossCount(fingerprint, nowNanos) < RequestLosses.PAUSING_LOSSES
                ? 0
                : lossesByFingerprint.get(fingerprint).pauseLeftMillis(tryDelayMillis(fingerprint, nowNanos), nowNanos);
    }

    private long tryDelayMillis(long fingerprint, long nowNanos) {
        Set<String> routerIds = fleet.routers().routerIds(nowNanos);
        String ownId = fleet.settings().routerId();
        int ownIndex = (int) routerIds.stream()
                .filter(routerId -> routerId.compareTo(ownId) < 0)
                .count();
        int firstIndex = Math.floorMod(fingerprint, routerIds.size());
        int rank = Math.floorMod(ownIndex - firstIndex, routerIds.size());
        return Math.min(rank, MAX_RANK) * TRY_INTERVAL_MILLIS;
    }

    /** Records that the request is sent. */
    void recordSent(long fingerprint, long nowNanos) {
        if (lossCount(fingerprint, nowNanos) >= RequestLosses.PAUSING_LOSSES) {
            lossesByFingerprint.get(fingerprint).startTry(nowNanos);
        }
    }

    int lossCount(long fingerprint, long nowNanos) {
        if (lossesByFingerprint.isEmpty()) {
            return 0;
        }
        RequestLosses losses = lossesByFingerprint.get(fingerprint);
        return losses == null || losses.isOver(nowNanos) ? 0 : losses.count();
    }
}
