package org.daisyscale.core.following;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.platform.CoordinationStore.Item;

/** Compares the routers of a model with its store after each event. Not thread-safe. */
final class FollowingModelChecks {
    private static final int MAX_RECENT_STEPS = 40;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** The time limit for a change to be known, also for the end of a grace period. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;

    private final ModelStore store;
    private final boolean isLimitKept;
    private final Map<String, Knowledge> knowledgeByRouter = new HashMap<>();
    private final Map<Long, Map<String, Long>> itemsByDigest = new HashMap<>();
    private final List<String> lateChanges = new ArrayList<>();
    private ModelFleet fleet;
    private long graceMillis = -APPLY_LIMIT_MILLIS;
    private int checkedChangeCount;
    private int missedReportCount;

    FollowingModelChecks(ModelStore store, boolean isLimitKept) {
        this.store = store;
        this.isLimitKept = isLimitKept;
    }

    void watch(ModelFleet watched) {
        fleet = watched;
    }

    /** What the checks know about a router. Not thread-safe. */
    private static final class Knowledge {
        private final Map<String, Long> newestRevisionByKey = new HashMap<>();
        private final Deque<Report> reports = new ArrayDeque<>();
        private final Deque<String> recentSteps = new ArrayDeque<>();
        private long viewRevision;
    }

    private record Report(long revision, long millis) {}

    /** Returns the changes that a router did not know in time. */
    List<String> lateChanges() {
        return lateChanges;
    }

    int checkedChangeCount() {
        return checkedChangeCount;
    }

    int missedReportCount() {
        return missedReportCount;
    }

    private Knowledge knowledge(ModelRouter router) {
        return knowledgeByRouter.computeIfAbsent(router.id(), any -> new Knowledge());
    }

    String describe(ModelRouter router) {
        return "%s at %d ms, view %s, items %s, after:\n%s\n"
                .formatted(
                        router.id(),
                        fleet.nowMillis(),
                        router.view().version(),
                        revisions(router),
                        String.join("\n", knowledge(router).recentSteps));
    }

    /** Records a step of the router for the description of a failure. */
    void recordStep(ModelRouter router, String step) {
        Deque<String> steps = knowledge(router).recentSteps;
        steps.addLast("%d ms: %s, at revision %d"
                .formatted(fleet.nowMillis(), step, router.view().version().revision()));
        if (steps.size() > MAX_RECENT_STEPS) {
            steps.removeFirst();
        }
    }

    private static Map<String, Long> revisions(ModelRouter router) {
        Map<String, Long> revisionByKey = new TreeMap<>();
        router.items().forEach((key, item) -> revisionByKey.put(key, item.revision()));
        return revisionByKey;
    }

    void recordReport(ModelRouter router, ViewVersion version) {
        knowledge(router).reports.addLast(new Report(version.revision(), fleet.nowMillis()));
    }

    /**
     * An item never goes back to an older version. After its removal it may only be back by a newer listing, if the
     * removal was known by a page that was newer than the revision of its own listing.
     */
    void recordWritten(ModelRouter router, Item item) {
        assertThat(store.isWritten(item.key(), item.revision()))
                .as(() -> "%s holds what was written: %s".formatted(describe(router), item))
                .isTrue();
        Long older = knowledge(router).newestRevisionByKey.put(item.key(), item.revision());
        boolean isBack = !router.items().containsKey(item.key()) && isHeldAfter(router, item);
        assertThat(older == null || older < item.revision() || isBack)
                .as(() -> "%s goes on to a newer item: %s after revision %s".formatted(describe(router), item, older))
                .isTrue();
    }

    private boolean isHeldAfter(ModelRouter router, Item item) {
        long nextRevision = router.view().version().revision() + 1;
        return store.isHeldAt(item.key(), nextRevision)
                && store.lastChange(item.key(), nextRevision) == item.revision();
    }

    void recordRemoved(ModelRouter router, Item item) {
        assertThat(item).as("%s removes what it held", describe(router)).isNotNull();
    }

    void check(ModelRouter router) {
        Knowledge known = knowledge(router);
        ViewVersion version = router.view().version();
        graceMillis = router.view().hasLapsed() ? fleet.nowMillis() : graceMillis;
        assertThat(version.revision()).as(() -> describe(router)).isGreaterThanOrEqualTo(known.viewRevision);
        known.viewRevision = version.revision();
        checkDigest(router, version);
        assertThat(lackedKeys(router, version.revision()))
                .as(() -> "what %s lacks up to its revision".formatted(describe(router)))
                .isEmpty();
        checkAge(router, known);
    }

    private void checkDigest(ModelRouter router, ViewVersion version) {
        Map<String, Long> revisions = revisions(router);
        Map<String, Long> same = itemsByDigest.putIfAbsent(version.digest(), revisions);
        assertThat(same == null || same.equals(revisions))
                .as(() -> "%s has the digest of %s".formatted(describe(router), same))
                .isTrue();
        long sum = revisions.entrySet().stream()
                .mapToLong(entry -> ItemDigest.of(entry.getKey(), entry.getValue()))
                .sum();
        assertThat(version.digest()).as(() -> describe(router)).isEqualTo(sum);
    }

    private void checkAge(ModelRouter router, Knowledge known) {
        while (!known.reports.isEmpty()
                && !lacksReported(router, known.reports.getFirst().revision())) {
            known.reports.removeFirst();
        }
        if (!known.reports.isEmpty()) {
            missedReportCount++;
            long missedMillis = fleet.nowMillis() - known.reports.getFirst().millis();
            assertThat(router.follower().isBehind())
                    .as(() -> "%s is behind report %s".formatted(describe(router), known.reports.getFirst()))
                    .isTrue();
            assertThat(router.follower().ageMillis(fleet.nowNanos()))
                    .as(() -> "age of %s, behind report %s".formatted(describe(router), known.reports.getFirst()))
                    .isGreaterThanOrEqualTo(missedMillis);
            assertThat((fleet.nowNanos() - router.follower().currentNanos()) / NANOS_PER_MILLI)
                    .isGreaterThanOrEqualTo(missedMillis);
        }
    }

    /** Returns whether the router lacks what a report showed; a view lacks nothing up to its own revision. */
    private boolean lacksReported(ModelRouter router, long revision) {
        return router.view().version().revision() < revision
                && !lackedKeys(router, revision).isEmpty();
    }

    /** Returns the items of which the router lacks a change up to {@code revision}; others may still be in grace. */
    private List<String> lackedKeys(ModelRouter router, long revision) {
        return store.keys().stream()
                .filter(key -> {
                    Item held = router.items().get(key);
                    // A listing in pages may lack what was removed after its revision.
                    boolean mayBeRemoved = !store.isHeldAt(key, revision) || store.isRemovedAfter(key, revision);
                    boolean isOlder = held != null && held.revision() < store.lastChange(key, revision);
                    return held == null ? !mayBeRemoved : isOlder && !(mayBeRemoved && mayHoldRemoved(router));
                })
                .map(key -> key + " changed at " + store.lastChange(key, revision))
                .toList();
    }

    /** Returns whether removed items may still be held, because another router waits for them to be written again. */
    private boolean mayHoldRemoved(ModelRouter router) {
        return router.isFrozenSince(fleet.nowMillis() - APPLY_LIMIT_MILLIS)
                || fleet.nowMillis() - graceMillis < APPLY_LIMIT_MILLIS
                || !isLimitKept;
    }

    /** Checks that each router that ran since {@code change} knows it. */
    void checkKnown(ModelStore.Version change) {
        for (ModelRouter router : fleet.routers().values()) {
            if (!router.isFrozenSince(change.millis())) {
                checkedChangeCount++;
                if (lacksChange(router, change)) {
                    lateChanges.add("revision %d of %s, accepted at %d ms: %s, age %d ms"
                            .formatted(
                                    change.change().revision(),
                                    change.change().key(),
                                    change.millis(),
                                    describe(router),
                                    router.follower().ageMillis(fleet.nowNanos())));
                }
            }
        }
    }

    private static boolean lacksChange(ModelRouter router, ModelStore.Version change) {
        Item held = router.items().get(change.change().key());
        long revision = change.change().revision();
        boolean isHeldLater = held != null && held.revision() >= revision;
        boolean isGone = held == null && change.change().item().isEmpty();
        return router.view().version().revision() < revision && !isHeldLater && !isGone;
    }
}
