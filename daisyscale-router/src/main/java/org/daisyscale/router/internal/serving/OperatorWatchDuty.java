package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.router.internal.duty.Backoff;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.internal.serving.ViewSourceLog.Reason;
import org.daisyscale.router.serving.StoreException;

/**
 * Follows what operators write. A configuration is large and the store returns each of its versions as a whole, so only
 * the controller watches it in the store; it sends the changes to the other routers. A router reads the store itself
 * when the controller is silent, when the controller has read further, and when an update of the controller does not
 * apply to the configuration that is known here. While changes arrive faster than they are read, the prefix is listed,
 * because a listing contains only the newest version. Not thread-safe; confined to one thread.
 */
final class OperatorWatchDuty {
    /** Shortest and longest backoff after a failed call, in milliseconds. */
    private static final long MIN_BACKOFF_MILLIS = 40;

    private static final long MAX_BACKOFF_MILLIS = 800;
    /** Interval at which a router checks whether the controller has read further, in milliseconds. */
    private static final long PROGRESS_CHECK_MILLIS = 100;
    /** Maximum number of versions in one log line; the newest ones are kept. */
    private static final int MAX_LOGGED_VERSIONS = 32;

    private final CoordinationStore store;
    private final String prefix;
    private final ConfirmedWatchGuard guard;
    private final long batchMillis;
    private final Ring<ControllerUpdate> updates;
    private final OperatorState state;
    private final Consumer<OperatorUpdate> publisher;
    private final Backoff backoff = new Backoff(MIN_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    private final StoreReachability reachability;
    private final ViewSourceLog viewSource;
    private final Consumer<UpdateResult> results;
    private final SkippedUpdateLog skippedUpdates;
    private long revision;
    private long lastChangeRevision;
    private boolean isListed;
    private boolean isChangingQuickly;

    /**
     * Creates the duty.
     *
     * @param updates the ring with updates of the controller
     * @param publisher receives what this router read, for the other routers
     * @param batchMillis changes that follow each other within this time are read with one call, in milliseconds
     * @param reports receives what the duty does
     */
    OperatorWatchDuty(
            CoordinationStore store,
            String prefix,
            ConfirmedWatchGuard guard,
            long batchMillis,
            Ring<ControllerUpdate> updates,
            OperatorState state,
            Consumer<OperatorUpdate> publisher,
            WatchReports reports) {
        this.store = store;
        this.prefix = prefix;
        this.guard = guard;
        this.batchMillis = batchMillis;
        this.updates = updates;
        this.state = state;
        this.publisher = publisher;
        this.reachability = new StoreReachability(prefix);
        this.results = reports.results();
        this.viewSource = new ViewSourceLog(reports.log(), prefix, System::nanoTime);
        this.skippedUpdates =
                new SkippedUpdateLog(reports.log(), "configuration-update-skipped", "configuration-caught-up");
    }

    /** Reads the store or waits for an update of the controller, once. */
    void runStep() throws InterruptedException {
        try {
            if (isListed && guard.isConfirmed()) {
                followController();
            } else {
                viewSource.recordStore(isListed ? Reason.CONTROLLER_SILENT : Reason.NOT_LISTED, revision);
                readStore();
            }
        } catch (StoreException e) {
            viewSource.recordStore(Reason.STORE_FAILED, revision);
            reachability.recordFailure(e, revision, guard.ageMillis());
            isListed = false;
            awaitUpdate(backoff.nextMillis());
        }
        guard.logStaleView();
    }

    private void followController() throws InterruptedException {
        viewSource.recordController(revision);
        awaitUpdate(PROGRESS_CHECK_MILLIS);
        boolean isConfirmed = guard.isConfirmed();
        isListed = isConfirmed && !guard.isBehind(revision);
        if (!isListed) {
            viewSource.recordStore(isConfirmed ? Reason.CONTROLLER_AHEAD : Reason.CONTROLLER_SILENT, revision);
        }
    }

    private void awaitUpdate(long millis) throws InterruptedException {
        updates.poll(Duration.ofMillis(millis)).ifPresent(this::apply);
    }

    private void apply(ControllerUpdate received) {
        long updateRevision = received.update().revision();
        UpdateResult result = updateRevision > revision ? state.applyUpdate(received) : UpdateResult.OLDER;
        results.accept(result);
        if (result == UpdateResult.APPLIED) {
            isListed = true;
            recordRevision(updateRevision, updateRevision);
        } else {
            recordSkipped(result, received);
        }
    }

    private void recordSkipped(UpdateResult reason, ControllerUpdate received) {
        RoutingTableChange change = received.update().table();
        String detail = "heldVersion=%d heldRevision=%d fromVersions=%s toVersion=%d revision=%d controller=%s"
                .formatted(
                        state.version(),
                        revision,
                        newestVersions(change),
                        change.version(),
                        received.update().revision(),
                        received.controllerId());
        skippedUpdates.recordSkipped(reason, state.version(), detail);
    }

    private static String newestVersions(RoutingTableChange change) {
        List<Long> versions = change.fromVersions().stream().sorted().toList();
        int leftOutCount = Math.max(0, versions.size() - MAX_LOGGED_VERSIONS);
        return versions.subList(leftOutCount, versions.size()).stream()
                .map(String::valueOf)
                .collect(Collectors.joining(",", leftOutCount == 0 ? "" : "...", ""));
    }

    private void readStore() throws InterruptedException {
        if (isListed && !isChangingQuickly) {
            watch();
        } else {
            list();
        }
        backoff.reset();
        if (isListed) {
            awaitUpdate(batchMillis);
        }
    }

    private void list() {
        CoordinationStore.Listing listing = store.list(prefix);
        reachability.recordResponse(revision);
        state.applyListing(listing.items());
        isListed = true;
        long previousRevision = lastChangeRevision;
        long newest = listing.items().stream()
                .mapToLong(CoordinationStore.Item::revision)
                .max()
                .orElse(0);
        recordRevision(listing.revision(), newest);
        isChangingQuickly = isChangingQuickly && lastChangeRevision > previousRevision;
    }

    private void watch() {
        long startNanos = System.nanoTime();
        Optional<Changes> changes =
                store.watch(prefix, revision, guard.nextWait(), () -> guard.isOverdue(revision, startNanos));
        reachability.recordResponse(revision);
        if (changes.isEmpty()) {
            isListed = false;
        } else if (changes.get().changes().isEmpty()) {
            handleEmptyWatch(changes.get().revision());
        } else {
            apply(changes.get());
        }
    }

    /**
     * Handles a watch that ended without a change. If the revision of the store rose, the prefix is listed again: the
     * store may have withheld a change, as it does when it has dropped its history.
     */
    private void handleEmptyWatch(long storeRevision) {
        isListed = storeRevision <= revision;
        if (isListed) {
            recordRevision(revision, lastChangeRevision);
        }
    }

    private void apply(Changes changes) {
        state.applyChanges(changes.changes());
        isChangingQuickly = changes.changes().size() > 1;
        long newest = changes.changes().get(changes.changes().size() - 1).revision();
        recordRevision(Math.max(newest, changes.revision()), newest);
    }

    private void recordRevision(long newRevision, long newestChange) {
        revision = Math.max(revision, newRevision);
        lastChangeRevision = Math.max(lastChangeRevision, newestChange);
        state.createUpdate(lastChangeRevision).ifPresent(publisher);
        guard.recordRevision(lastChangeRevision);
        skippedUpdates.recordCaughtUp("version=%d revision=%d".formatted(state.version(), revision));
    }
}
