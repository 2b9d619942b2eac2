package org.daisyscale.core.following;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.EventTime;

/** A router of the model, which follows the prefix as the duty of a router does. Not thread-safe. */
final class ModelRouter implements ViewListener {
    static final String PREFIX = "p/";
    private static final int RING_CAPACITY = 64;
    private static final long BATCH_MILLIS = 200;
    private static final long MIN_LAPSE_OUTAGE_MILLIS = 1_000;
    private static final long GRACE_MILLIS = 2_000;

    private final String id;
    private final ModelFleet fleet;
    private final FollowingModelChecks checks;
    private final ItemView view = new ItemView(PREFIX, this);
    private final ViewFollower follower;
    private final ViewTeller teller = new ViewTeller();
    private final Deque<Runnable> inbox = new ArrayDeque<>();
    private final Map<String, Item> itemByKey = new TreeMap<>();
    private String controllerId;
    private long readNumber;
    private long callCount;
    private boolean mustReport;
    private boolean isRingFull;
    private long frozenUntilMillis;
    private long stepNumber;
    private boolean isUnreachable;
    private long unreachableSinceMillis;
    private long lastOutageMillis;
    private long recoveredMillis;

    ModelRouter(String id, ModelFleet fleet, FollowingModelChecks checks, long seed) {
        this.id = id;
        this.fleet = fleet;
        this.checks = checks;
        this.follower = new ViewFollower(
                new SplittableRandom(seed), BATCH_MILLIS, seed % 2 == 0, seed % 3 == 0, fleet.nowNanos());
    }

    String id() {
        return id;
    }

    ItemView view() {
        return view;
    }

    ViewFollower follower() {
        return follower;
    }

    Map<String, Item> items() {
        return itemByKey;
    }

    /** Returns the number of calls to the store so far. */
    long callCount() {
        return callCount;
    }

    boolean isController() {
        return id.equals(controllerId);
    }

    boolean isFrozenSince(long millis) {
        return frozenUntilMillis > millis;
    }

    void learnController(String newControllerId) {
        controllerId = newControllerId;
    }

    void setRingFull(boolean isFull) {
        isRingFull = isFull;
    }

    void freeze(long untilMillis) {
        checks.recordStep(this, "frozen until " + untilMillis);
        frozenUntilMillis = untilMillis;
        fleet.at(untilMillis, this::runStep);
    }

    /** Adds a message; it is lost if the ring is full. */
    void offer(Runnable event) {
        if (!isRingFull && inbox.size() < RING_CAPACITY) {
            put(event);
        }
    }

    /** Adds the end of a read. */
    void put(Runnable event) {
        inbox.add(event);
        runStep();
    }

    void runStep() {
        if (isFrozenSince(fleet.nowMillis())) {
            return;
        }
        while (!inbox.isEmpty()) {
            inbox.remove().run();
            checks.check(this);
        }
        removeLapsed();
        tellOthers();
        FollowStep step = follower.next(isController(), fleet.nowNanos());
        step.holding().ifPresent(holding -> checks.recordStep(this, "says " + holding));
        step.holding()
                .ifPresent(holding -> fleet.send(
                        this, holding.teller().routerId(), ModelFleet.Kind.HELD, other -> other.hearHeld(id, holding)));
        step.read().ifPresent(request -> {
            checks.recordStep(this, "starts " + request);
            readNumber++;
            callCount++;
            fleet.call(this, readNumber, request);
        });
        checks.check(this);
        stepNumber++;
        long number = stepNumber;
        fleet.at(fleet.nowMillis() + step.waitMillis(), () -> {
            if (number == stepNumber) {
                runStep();
            }
        });
    }

    boolean isReplaced(long number) {
        return number != readNumber;
    }

    private void hearHeld(String routerId, FollowStep.Holding holding) {
        teller.recordHeld(routerId, holding.version(), holding.needsWhole(), fleet.nowNanos());
    }

    void forget(String routerId) {
        teller.forget(routerId);
    }

    private void hear(Teller reporter, ViewVersion version, long ageMillis) {
        if (reporter.routerId().equals(controllerId) && !isController()) {
            checks.recordStep(this, "report of " + reporter + " " + version);
            checks.recordReport(this, version);
            if (follower.hear(reporter, version, ageMillis, fleet.nowNanos())) {
                view.confirm(version.revision());
            }
        }
    }

    private void handleUpdate(String from, ViewUpdate update) {
        if (!from.equals(controllerId)) {
            return;
        }
        long nowNanos = fleet.nowNanos();
        UpdateResult result = view.applyUpdate(update, from, follower.changedAt());
        checks.recordStep(
                this, "update of %s to %s, whole %s: %s".formatted(from, update.version(), update.isWhole(), result));
        if (result == UpdateResult.APPLIED) {
            follower.recordApplied(view.version());
        } else {
            follower.recordRefused(result, update, nowNanos);
        }
    }

    void handleFailure() {
        if (!isUnreachable) {
            isUnreachable = true;
            unreachableSinceMillis = fleet.nowMillis() - follower.ageMillis(fleet.nowNanos());
        }
        checks.recordStep(this, "failed read");
        follower.recordFailed(fleet.nowNanos());
    }

    void handleListing(Listing listing) {
        recordResponse();
        boolean isNew = listing.revision() >= view.version().revision();
        view.applyListing(listing, circumstances());
        recordRead(0, isNew);
    }

    void handleWatch(Optional<Changes> changes) {
        recordResponse();
        if (changes.isEmpty()) {
            recordRead(0, false);
        } else if (changes.get().changes().isEmpty()) {
            recordRead(0, changes.get().revision() <= view.version().revision());
        } else {
            view.applyChanges(changes.get(), circumstances());
            recordRead(changes.get().changes().size(), true);
        }
    }

    private void recordRead(int changeCount, boolean isComplete) {
        checks.recordStep(
                this, "read of %d changes, complete %s, grace %s".formatted(changeCount, isComplete, isWithinGrace()));
        boolean isCurrent = follower.recordRead(view.version(), changeCount, isComplete, fleet.nowNanos());
        mustReport = mustReport || isCurrent;
    }

    private void recordResponse() {
        if (isUnreachable) {
            isUnreachable = false;
            recoveredMillis = fleet.nowMillis();
            lastOutageMillis = recoveredMillis - unreachableSinceMillis;
        }
    }

    private ReadCircumstances circumstances() {
        return new ReadCircumstances(follower.changedAt(), isWithinGrace());
    }

    private boolean isWithinGrace() {
        return lastOutageMillis >= MIN_LAPSE_OUTAGE_MILLIS && fleet.nowMillis() - recoveredMillis < GRACE_MILLIS;
    }

    private void removeLapsed() {
        if (view.hasLapsed() && !isUnreachable && !isWithinGrace()) {
            view.removeLapsed();
            checks.recordStep(this, "end of grace");
            follower.recordChanged(view.version());
        }
    }

    private void tellOthers() {
        boolean isReportDue = mustReport && isController();
        mustReport = false;
        if (!isController()) {
            return;
        }
        ViewVersion own = view.version();
        teller.next(own, view::hasDifferenceFrom, fleet.nowNanos()).forEach(telling -> {
            ViewUpdate update = view.updateFrom(telling.held(), telling.isWhole());
            fleet.send(this, telling.routerId(), ModelFleet.Kind.UPDATE, other -> other.handleUpdate(id, update));
        });
        if (isReportDue) {
            long ageMillis = follower.ageMillis(fleet.nowNanos());
            fleet.broadcast(this, (other, connection) -> other.hear(new Teller(id, connection), own, ageMillis));
        }
    }

    @Override
    public void onWritten(Item item, EventTime writtenAt) {
        checks.recordWritten(this, item);
        itemByKey.put(item.key(), item);
    }

    @Override
    public void onRemoved(String key) {
        checks.recordRemoved(this, itemByKey.remove(key));
    }

    @Override
    public void onComplete() {}
}
