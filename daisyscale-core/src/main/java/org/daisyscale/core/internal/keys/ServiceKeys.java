package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;

/**
 * The keys of one service. A change is acted on only once the store has it; while a write is under way nothing is
 * granted that it changes. Owned by the thread that owns the core.
 */
final class ServiceKeys {
    /** How often the balance is looked at, in milliseconds: about when new reports have come from all routers. */
    private static final long BALANCE_MILLIS = 200;

    /**
     * How long the end of a move may wait for others before it is written, in milliseconds: routers hear of it at once,
     * and only a new controller reads it from the store.
     */
    private static final long SETTLE_MILLIS = 300;

    private static final PlanStep SETTLE = new SettleStep();
    private static final PlanStep LOST_OWNER = new LostOwnerStep();
    private static final PlanStep HOT_KEY = new HotKeyStep();
    private static final PlanStep BALANCE = new BalanceStep();
    private static final PlanStep MERGE = new MergeStep();

    private final String service;
    private final ServerRoster roster;
    private final OwnerWatch owners;
    private final RangeCalls calls;
    private final FenceBlock fences = new FenceBlock();
    private final LoadBook load = new LoadBook();
    private KeyMap map;
    private KeyMap written;
    private KeyMap published;
    private long revision;
    private boolean isRead;
    private boolean isWriteUnknown;
    private boolean isReadAsked;
    private long balanceDueNanos;
    private long writtenNanos;

    ServiceKeys(String service, ServerRoster roster, OwnerWatch owners, CallNumbers callNumbers) {
        this.service = service;
        this.roster = roster;
        this.owners = owners;
        this.calls = new RangeCalls(owners, roster, fences, callNumbers);
    }

    RangeCalls calls() {
        return calls;
    }

    void add(KeyLoad keyLoad, long nowNanos) {
        load.add(keyLoad, nowNanos);
    }

    /** Forgets what belongs to an earlier time of control; the map has to be read again. */
    void restart(long nowNanos) {
        calls.clear();
        fences.clear();
        written = null;
        published = null;
        isReadAsked = true;
        isRead = false;
        isWriteUnknown = false;
        balanceDueNanos = nowNanos;
        writtenNanos = nowNanos;
    }

    /** Whether nobody has asked for the map yet. */
    boolean isUnread() {
        return !isReadAsked;
    }

    /** The map was read; the fences that a newer one sets aside are another controller's. */
    void read(KeyMap found, long foundRevision) {
        if (foundRevision > revision) {
            fences.clear();
        }
        adopt(found, foundRevision);
    }

    /** This controller's own write was accepted. */
    void written(KeyMap accepted, long acceptedRevision) {
        fences.written(accepted.nextFence());
        adopt(accepted, acceptedRevision);
    }

    private void adopt(KeyMap found, long foundRevision) {
        settle();
        if (foundRevision >= revision) {
            map = found;
            revision = foundRevision;
            calls.adopt(found);
        }
    }

    void absent() {
        settle();
    }

    private void settle() {
        isRead = true;
        isWriteUnknown = false;
        written = null;
    }

    /** A write has no known end: until the map is read again, only ranges that the write left alone are kept. */
    void writeFailed() {
        isWriteUnknown = isRead && written != null;
        isRead = false;
    }

    /** Plans and makes the calls that are due. */
    void step(long holdMillis, List<KeyAction> actions, long nowNanos) {
        if (!isRead && !isWriteUnknown) {
            return;
        }
        if (written == null) {
            plan(nowNanos).ifPresent(next -> {
                written = next;
                writtenNanos = nowNanos;
                actions.add(new KeyAction.WriteMap(next, revision));
            });
        }
        if (map != null) {
            Set<RangeFence> kept = RangeFence.allOf(written == null ? map : written);
            map.assignments().stream()
                    .filter(assignment -> kept.contains(RangeFence.of(assignment)))
                    .forEach(assignment -> calls.act(assignment, holdMillis, actions, nowNanos));
            publish(actions);
        }
    }

    /** Tells of ranges that took their grants; the store hears of them with the next write. */
    private void publish(List<KeyAction> actions) {
        MapDraft draft = new MapDraft(map);
        draft.assignments().stream()
                .filter(assignment -> !assignment.isSettled() && calls.isGranted(assignment))
                .forEach(draft::settle);
        boolean isNewVersion = published == null || published.version() != map.version();
        KeyMap next = draft.toProgress(isNewVersion ? 0 : published.progress() + 1);
        if (isNewVersion || !next.assignments().equals(published.assignments())) {
            published = next;
            actions.add(new KeyAction.PublishMap(next));
        }
    }

    private Optional<KeyMap> plan(long nowNanos) {
        List<BackendServer> usable = roster.usable(service);
        if (map == null) {
            return usable.isEmpty() ? Optional.empty() : Optional.of(firstMap(usable));
        }
        PlanContext context = new PlanContext(usable, warm(usable, nowNanos), load, roster, owners, calls, nowNanos);
        MapDraft draft = new MapDraft(map);
        if (fences.isLow()) {
            draft.setFencesAside();
        }
        SETTLE.plan(draft, context);
        LOST_OWNER.plan(draft, context);
        if (nowNanos - balanceDueNanos >= 0) {
            balanceDueNanos = nowNanos + BALANCE_MILLIS * 1_000_000L;
            load.fade(nowNanos);
            HOT_KEY.plan(draft, context);
            BALANCE.plan(draft, context);
            MERGE.plan(draft, context);
        }
        boolean isDue = draft.hasMoves() || nowNanos - writtenNanos >= SETTLE_MILLIS * 1_000_000L;
        return draft.isChanged() && isDue ? Optional.of(draft.toMap()) : Optional.empty();
    }

    /** The servers that may get more keys: warm ones that answer, or all that answer when none is warm. */
    private List<BackendServer> warm(List<BackendServer> usable, long nowNanos) {
        List<BackendServer> answering = usable.stream()
                .filter(server -> !owners.isLost(Owner.of(server), nowNanos))
                .toList();
        List<BackendServer> warm = answering.stream()
                .filter(server -> !roster.isCold(server.id(), nowNanos))
                .toList();
        return warm.isEmpty() ? answering : warm;
    }

    private KeyMap firstMap(List<BackendServer> servers) {
        List<KeyAssignment> assignments = new ArrayList<>();
        int first = 0;
        for (int index = 0; index < servers.size(); index++) {
            int next = (int) ((long) KeyMap.KEY_COUNT * (index + 1) / servers.size());
            Owner owner = Owner.of(servers.get(index));
            assignments.add(KeyAssignment.first(first, next - 1, owner, index + 1));
            first = next;
        }
        return new KeyMap(service, 1, 0, servers.size() + 1 + FenceBlock.SIZE, assignments);
    }

    /** A range under a fence: a write that keeps it leaves its owner as it is. Immutable. */
    private record RangeFence(int firstKey, int lastKey, long fence) {

        static RangeFence of(KeyAssignment assignment) {
            return new RangeFence(assignment.firstKey(), assignment.lastKey(), assignment.fence());
        }

        static Set<RangeFence> allOf(KeyMap map) {
            return map.assignments().stream().map(RangeFence::of).collect(Collectors.toSet());
        }
    }
}
