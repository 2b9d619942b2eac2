package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * Coordinates the keys of one service: plans changes of the key map, writes them and makes the grant and release calls.
 * A change takes effect only once it is stored; while a write is in flight, no range that it changes is granted.
 *
 * <p>Until it is known which data centres are evacuated, no server gets keys that it didn't own. Standing grants and
 * moves under way go on.
 *
 * <p>A map that was written before the store was restored may lack moves. Only a controller whose control lasted until
 * the restore goes on with the map that it knows; any other one makes no grant until those of before have expired. The
 * first map of an era has a version and fences above all earlier ones.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class ServiceKeyCoordinator {
    /** Interval of rebalancing, in milliseconds: about the time in which all routers send new reports. */
    private static final long BALANCE_PERIOD_MILLIS = 200;

    /**
     * How long a completed move may wait to be written together with other changes, in milliseconds: it is published to
     * routers at once, and only a new controller reads it from the store.
     */
    private static final long SETTLE_DELAY_MILLIS = 500;

    /**
     * Shortest time between a write and a plan that only merges ranges, in milliseconds: no request waits for a merge,
     * and each write costs. A plan that moves keys merges at once.
     */
    private static final long MERGE_DELAY_MILLIS = 500;

    /**
     * How long a write waits for the owners that have yet to answer before their ranges move, in milliseconds, so that
     * moves that are planned together are written together.
     */
    private static final long POSTPONED_MOVES_MILLIS = 100;

    private static final PlanStep SETTLE = new SettleStep();
    private static final PlanStep LOST_OWNER = new LostOwnerStep();
    private static final PlanStep HOT_KEY = new HotKeyStep();
    private static final PlanStep BALANCE = new BalanceStep();
    private static final PlanStep MERGE = new MergeStep();

    private final String service;
    private final ServerRegistry registry;
    private final OwnerTracker owners;
    private final HoldLedger holds;
    private final RangeCallCoordinator calls;
    private final EvacuationProgress evacuations;
    private final FenceBlock fences = new FenceBlock();
    private final LoadTracker load = new LoadTracker();
    private KeyMap map;
    private KeyMap pendingMap;
    private KeyMap publishedMap;
    private long revision;
    private boolean isRead;
    private boolean isWriteUnknown;
    private boolean isReadRequested;
    private StoreHistory history = StoreHistory.NONE;
    /** Whether this controller has acted in this term, so that its map contains all moves. */
    private boolean isMapComplete;
    /** Whether the map contained all moves when the store was restored last. */
    private boolean isMapKept;

    private boolean mayLackMoves;
    private boolean isWaitReported;
    /** Whether the grants of earlier controllers in the map that was read in this term are recorded. */
    private boolean areEarlierGrantsRecorded;

    private boolean hasPostponedMoves;
    private long postponedSinceNanos;
    private long balanceDueNanos;
    private long lastWriteNanos;

    ServiceKeyCoordinator(
            String service, ServerRegistry registry, OwnerTracker owners, HoldLedger holds, CallIdSequence callIds) {
        this.service = service;
        this.registry = registry;
        this.owners = owners;
        this.holds = holds;
        this.calls = new RangeCallCoordinator(service, owners, holds, registry, fences, callIds);
        this.evacuations = new EvacuationProgress(service, registry, calls);
    }

    RangeCallCoordinator calls() {
        return calls;
    }

    long rangeCount() {
        return map == null ? 0 : map.assignments().size();
    }

    void add(KeyLoad keyLoad, long nowNanos) {
        load.add(keyLoad, nowNanos);
    }

    /**
     * Records that the store was restored, which ends the term.
     *
     * @param isControlUnbroken whether no other controller can have acted before the restore
     */
    void recordRestore(boolean isControlUnbroken) {
        isMapKept = isControlUnbroken && isMapComplete;
        isMapComplete = false;
    }

    /**
     * Discards the state of an earlier term; the map has to be read again.
     *
     * @param newHistory what is known about the store in this term
     */
    void restart(StoreHistory newHistory, long nowNanos) {
        history = newHistory;
        isMapComplete = false;
        mayLackMoves = false;
        isWaitReported = false;
        areEarlierGrantsRecorded = false;
        hasPostponedMoves = false;
        calls.startTerm(nowNanos);
        fences.clear();
        pendingMap = null;
        publishedMap = null;
        isReadRequested = true;
        isRead = false;
        isWriteUnknown = false;
        balanceDueNanos = nowNanos;
        lastWriteNanos = nowNanos;
    }

    /** Returns whether the map has not been requested yet. */
    boolean isUnread() {
        return !isReadRequested;
    }

    /** Records the map that was read; the fences that a newer map reserves belong to another controller. */
    void onMapRead(KeyMap found, long foundRevision, long nowNanos) {
        if (isOfOlderEra(foundRevision)) {
            return;
        }
        history = history.inEra(EraRevision.eraOf(foundRevision));
        if (foundRevision > revision) {
            fences.clear();
        }
        boolean wasWrittenBefore = EraNumbers.eraOf(found.version()) < history.era();
        boolean isOwnNewer = wasWrittenBefore && map != null && map.version() >= found.version();
        mayLackMoves = wasWrittenBefore && !(isMapKept && isOwnNewer);
        KeyMap adopted = isOwnNewer ? map : found;
        if (!areEarlierGrantsRecorded || foundRevision > revision) {
            areEarlierGrantsRecorded = true;
            holds.recordEarlierGrants(adopted, nowNanos);
        }
        adopt(adopted, foundRevision);
    }

    /** Returns whether the revision was assigned before the store was restored, so that it says nothing any more. */
    private boolean isOfOlderEra(long foundRevision) {
        return EraRevision.eraOf(foundRevision) < history.era();
    }

    /** Records that a write of this controller was accepted, which reserves its fences for this controller. */
    void onMapWritten(KeyMap accepted, long acceptedRevision) {
        if (isOfOlderEra(acceptedRevision)) {
            return;
        }
        fences.recordWritten(accepted.nextFence());
        mayLackMoves = false;
        adopt(accepted, acceptedRevision);
    }

    private void adopt(KeyMap found, long foundRevision) {
        markRead();
        if (foundRevision >= revision) {
            map = found;
            revision = foundRevision;
            calls.adopt(found);
        }
    }

    /** Records that the store has no map of the service. */
    void onMapAbsent() {
        markRead();
        if (isOfOlderEra(revision)) {
            revision = 0;
        }
        mayLackMoves = history.wasRestored() && !(isMapKept && map != null);
    }

    private void markRead() {
        isRead = true;
        isWriteUnknown = false;
        pendingMap = null;
    }

    /** Records a write of unknown outcome: until the map is read, only ranges that it doesn't change are granted. */
    void onMapWriteFailed() {
        isWriteUnknown = isRead && pendingMap != null;
        isRead = false;
    }

    /** Plans the next map if no write is in flight, and makes the calls that are due. */
    void step(CallTerms terms, List<KeyAction> actions, long nowNanos) {
        if (!isRead && !isWriteUnknown) {
            return;
        }
        if (mayLackMoves && calls.mayOthersHold(nowNanos)) {
            reportWait(actions);
            return;
        }
        isMapComplete = true;
        if (pendingMap == null) {
            plan(terms, nowNanos).ifPresent(next -> {
                pendingMap = next;
                lastWriteNanos = nowNanos;
                actions.add(new KeyAction.WriteMap(next, revision));
            });
        }
        if (map != null) {
            rangesKeptByPendingWrite().forEach(assignment -> calls.makeDueCalls(assignment, terms, actions, nowNanos));
            publish(terms, actions, nowNanos);
            evacuations.report(map, actions, nowNanos);
        }
    }

    /** Reports that this controller, which has no control now, follows no evacuation any more. */
    void abandonEvacuations(List<KeyAction> actions, long nowNanos) {
        evacuations.abandon(actions, nowNanos);
    }

    private void reportWait(List<KeyAction> actions) {
        if (!isWaitReported) {
            isWaitReported = true;
            actions.add(new KeyAction.Report(
                    "key-map-restored-older",
                    "service=%s version=%d era=%d: no grants until those of lost key maps have expired"
                            .formatted(service, map == null ? 0 : map.version(), history.era())));
        }
    }

    private List<KeyAssignment> rangesKeptByPendingWrite() {
        if (pendingMap == null) {
            return map.assignments();
        }
        Set<RangeFence> kept = RangeFence.allOf(pendingMap);
        return map.assignments().stream()
                .filter(assignment -> kept.contains(RangeFence.of(assignment)))
                .toList();
    }

    /** Publishes the ranges whose owners accepted their grants; the next write stores them. */
    private void publish(CallTerms terms, List<KeyAction> actions, long nowNanos) {
        boolean isNewVersion = publishedMap == null || publishedMap.version() != map.version();
        List<KeyAssignment> granted = map.assignments().stream()
                .filter(assignment -> !assignment.isSettled() && calls.isGranted(assignment))
                .toList();
        if (!isNewVersion && granted.isEmpty()) {
            return;
        }
        MapDraft draft = new MapDraft(map, history.era(), moveGuard(terms, nowNanos));
        granted.forEach(draft::settle);
        KeyMap next = draft.toProgress(isNewVersion ? 0 : publishedMap.progress() + 1);
        if (isNewVersion || !next.assignments().equals(publishedMap.assignments())) {
            publishedMap = next;
            actions.add(new KeyAction.PublishMap(next));
        }
    }

    private Optional<KeyMap> plan(CallTerms terms, long nowNanos) {
        List<BackendServer> usable = registry.usable(service);
        if (map == null) {
            boolean mayGiveKeys = registry.areEvacuationsKnown() && !usable.isEmpty();
            return mayGiveKeys ? Optional.of(initialMap(usable)) : Optional.empty();
        }
        MapDraft draft = draft(usable, terms, nowNanos);
        boolean isDue = draft.isUrgent() || isSinceLastWrite(SETTLE_DELAY_MILLIS, nowNanos);
        boolean isWaiting = isWaitingForOwners(draft, nowNanos) && !fences.isLow();
        return draft.isChanged() && isDue && !isWaiting ? Optional.of(draft.toMap()) : Optional.empty();
    }

    private MapDraft draft(List<BackendServer> usable, CallTerms terms, long nowNanos) {
        PlanContext context = new PlanContext(usable, warm(usable, nowNanos), load, registry, owners, calls, nowNanos);
        MapDraft draft = new MapDraft(map, history.era(), moveGuard(terms, nowNanos));
        if (fences.isLow()) {
            draft.reserveFences();
        }
        SETTLE.plan(draft, context);
        if (registry.areEvacuationsKnown()) {
            planNewOwners(draft, context, nowNanos);
        }
        if (draft.isUrgent() || isSinceLastWrite(MERGE_DELAY_MILLIS, nowNanos)) {
            MERGE.plan(draft, context);
        }
        return draft;
    }

    private void planNewOwners(MapDraft draft, PlanContext context, long nowNanos) {
        LOST_OWNER.plan(draft, context);
        if (nowNanos - balanceDueNanos >= 0) {
            balanceDueNanos = nowNanos + BALANCE_PERIOD_MILLIS * 1_000_000L;
            load.decayTo(nowNanos);
            HOT_KEY.plan(draft, context);
            BALANCE.plan(draft, context);
        }
    }

    private MoveGuard moveGuard(CallTerms terms, long nowNanos) {
        long proofMillis = HoldLedger.maxLateMillis(terms.holdMillis());
        return new OwnerMoveGuard(registry, owners, holds, calls, proofMillis, nowNanos);
    }

    /** Returns whether the draft should be planned again shortly, when more owners have answered. */
    private boolean isWaitingForOwners(MapDraft draft, long nowNanos) {
        if (!draft.hasPostponedMoves()) {
            hasPostponedMoves = false;
            return false;
        }
        if (!hasPostponedMoves) {
            hasPostponedMoves = true;
            postponedSinceNanos = nowNanos;
        }
        boolean isWaiting = nowNanos - postponedSinceNanos < POSTPONED_MOVES_MILLIS * 1_000_000L;
        balanceDueNanos = isWaiting ? nowNanos : balanceDueNanos;
        return isWaiting;
    }

    private boolean isSinceLastWrite(long millis, long nowNanos) {
        return nowNanos - lastWriteNanos >= millis * 1_000_000L;
    }

    /** Returns the servers that may get more keys: warm ones that answer, or all that answer if none is warm. */
    private List<BackendServer> warm(List<BackendServer> usable, long nowNanos) {
        List<BackendServer> answering = usable.stream()
                .filter(server -> !owners.isLost(Owner.of(server), nowNanos))
                .toList();
        List<BackendServer> warm = answering.stream()
                .filter(server -> !registry.isCold(server.id(), nowNanos))
                .toList();
        return warm.isEmpty() ? answering : warm;
    }

    private KeyMap initialMap(List<BackendServer> servers) {
        List<KeyAssignment> assignments = new ArrayList<>();
        long lowest = EraNumbers.first(history.era());
        int first = 0;
        for (int index = 0; index < servers.size(); index++) {
            int next = (int) ((long) KeyMap.KEY_COUNT * (index + 1) / servers.size());
            Owner owner = Owner.of(servers.get(index));
            assignments.add(KeyAssignment.first(first, next - 1, owner, lowest + index + 1));
            first = next;
        }
        return new KeyMap(service, Math.max(1, lowest), 0, lowest + servers.size() + 1 + FenceBlock.SIZE, assignments);
    }

    /** A range with its fence, which a write keeps only if it doesn't change the owner. Immutable. */
    private record RangeFence(int firstKey, int lastKey, long fence) {

        static RangeFence of(KeyAssignment assignment) {
            return new RangeFence(assignment.firstKey(), assignment.lastKey(), assignment.fence());
        }

        static Set<RangeFence> allOf(KeyMap map) {
            return map.assignments().stream().map(RangeFence::of).collect(Collectors.toSet());
        }
    }
}
