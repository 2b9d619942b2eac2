package org.daisyscale.router.internal.following;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.daisyscale.core.following.FollowStep;
import org.daisyscale.core.following.ReadCircumstances;
import org.daisyscale.core.following.ReadRequest;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.core.following.ViewContents;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewTeller;
import org.daisyscale.core.following.ViewTeller.Telling;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.platform.EraRevision;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Follows one prefix of the store: passes events to the view and to the decisions of {@link ViewFollower} and
 * {@link ViewTeller}, and carries out what they decide. It never waits for the store. Not thread-safe; confined to one
 * thread, but for the age of the view.
 */
public final class FollowDuty {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /**
     * Shortest outage that can make an item lapse, in milliseconds: an item lapses only after its writer has missed
     * several heartbeats.
     */
    private static final long MIN_LAPSE_OUTAGE_MILLIS = 1_000;
    /**
     * Grace period for lapsed items to be written again after the store recovers, in milliseconds; required by the
     * platform.
     */
    private static final long REWRITE_GRACE_MILLIS = 2_000;

    private final String prefix;
    private final ViewContents contents;
    private final ViewFollower follower;
    private final ViewTeller teller = new ViewTeller();
    private final Ring<FollowEvent> inbox;
    private final StoreReader reader;
    private final FollowPeers peers;
    private final FollowReports reports;
    private final LongSupplier clockNanos;
    private final StoreReachability reachability;
    private final ViewSourceLog viewSource;
    private final SkippedUpdateLog skippedUpdates;
    private final StaleViewLog staleView;
    private final SentUpdateLog sentUpdates;
    private long readNumber;
    private boolean mustReport;
    private boolean isController;
    private boolean wasRestored;
    private long restoredNanos;
    private volatile long currentNanos;

    /**
     * Creates the duty.
     *
     * @param inbox the ring of the duty's events
     * @param reader reads the prefix; the ends of its reads are added to the inbox
     * @param clockNanos the monotonic clock, in nanoseconds
     */
    public FollowDuty(
            String prefix,
            ViewContents contents,
            ViewFollower follower,
            Ring<FollowEvent> inbox,
            StoreReader reader,
            FollowPeers peers,
            FollowReports reports,
            LongSupplier clockNanos) {
        this.prefix = prefix;
        this.contents = contents;
        this.follower = follower;
        this.inbox = inbox;
        this.reader = reader;
        this.peers = peers;
        this.reports = reports;
        this.clockNanos = clockNanos;
        this.reachability = new StoreReachability(prefix, MIN_LAPSE_OUTAGE_MILLIS, clockNanos);
        this.viewSource = new ViewSourceLog(reports.log(), prefix, clockNanos);
        this.skippedUpdates = new SkippedUpdateLog(reports.log(), prefix);
        this.staleView = new StaleViewLog(reports.log(), prefix);
        this.sentUpdates = new SentUpdateLog(reports.log(), prefix);
        this.currentNanos = follower.currentNanos();
    }

    /** Returns the time since the view was last known to lack nothing, in milliseconds. Thread-safe. */
    public long ageMillis() {
        return (clockNanos.getAsLong() - currentNanos) / NANOS_PER_MILLI;
    }

    /** Decides what to do, waits for an event and handles all that are there. */
    public void runStep() throws InterruptedException {
        FollowStep step = follower.next(peers.isController(), clockNanos.getAsLong());
        step.holding()
                .ifPresent(holding -> peers.send(
                        holding.teller().routerId(),
                        new PeerMessage.ViewHeld(prefix, holding.version(), holding.needsWhole())));
        step.read().ifPresentOrElse(this::startRead, this::recordSource);
        Optional<FollowEvent> event = inbox.poll(Duration.ofMillis(step.waitMillis()));
        for (int count = 0; event.isPresent() && count < inbox.capacity(); count++) {
            handle(event.get());
            event = inbox.poll(Duration.ZERO);
        }
        event.ifPresent(this::handle);
        removeLapsed();
        tellOthers();
        reportAge();
    }

    private void startRead(ReadRequest request) {
        viewSource.recordStore(request.reason(), contents.version().revision());
        readNumber++;
        boolean isStarted = false;
        try {
            reader.start(readNumber, request);
            isStarted = true;
        } finally {
            if (!isStarted) {
                follower.recordFailed(clockNanos.getAsLong());
            }
        }
    }

    private void recordSource() {
        if (!peers.isController() && follower.isTold(clockNanos.getAsLong())) {
            viewSource.recordController(contents.version().revision());
        }
    }

    /** Handles {@code event}; a listener that throws leaves the decisions with what is held now. */
    private void handle(FollowEvent event) {
        long revisionBefore = contents.version().revision();
        try {
            dispatch(event, clockNanos.getAsLong());
            recordEra(revisionBefore);
        } catch (RuntimeException e) {
            EventLog.warn("view-event-failed", "prefix=" + prefix + " " + contents.describe(), e);
            follower.recordChanged(contents.version());
        }
    }

    /** Records whether the view is now that of a store which was restored since {@code revisionBefore}. */
    private void recordEra(long revisionBefore) {
        EraRevision before = EraRevision.unpack(revisionBefore);
        EraRevision now = EraRevision.unpack(contents.version().revision());
        if (revisionBefore > 0 && now.era() > before.era()) {
            wasRestored = true;
            restoredNanos = clockNanos.getAsLong();
            EventLog.warn(
                    "view-restored",
                    "prefix=%s oldEra=%d newEra=%d fromRevision=%s %s: what is missing counts as removed after %d ms"
                            .formatted(
                                    prefix,
                                    before.era(),
                                    now.era(),
                                    before,
                                    contents.describe(),
                                    REWRITE_GRACE_MILLIS));
        }
    }

    private void dispatch(FollowEvent event, long nowNanos) {
        if (event instanceof FollowEvent.Reported reported) {
            handleReport(reported, nowNanos);
        } else if (event instanceof FollowEvent.Updated updated) {
            handleUpdate(updated, nowNanos);
        } else if (event instanceof FollowEvent.Held held) {
            teller.recordHeld(held.routerId(), held.version(), held.needsWhole(), nowNanos);
        } else if (event instanceof FollowEvent.FollowerLost lost) {
            teller.forget(lost.routerId());
        } else {
            handleRead(event, nowNanos);
        }
    }

    private void handleReport(FollowEvent.Reported reported, long nowNanos) {
        if (follower.hear(reported.teller(), reported.version(), reported.ageMillis(), nowNanos)) {
            contents.confirm(reported.version().revision());
            reachability.recordConfirmed(contents.version().revision());
            recordCaughtUp();
        }
    }

    private void recordCaughtUp() {
        if (!follower.isBehind()) {
            skippedUpdates.recordCaughtUp(contents.describe());
        }
    }

    private void handleUpdate(FollowEvent.Updated updated, long nowNanos) {
        ViewUpdate update = updated.update();
        UpdateResult result = contents.applyUpdate(update, updated.controllerId(), follower.changedAt());
        reports.results().accept(result);
        if (result == UpdateResult.APPLIED) {
            follower.recordApplied(contents.version());
            recordCaughtUp();
        } else {
            follower.recordRefused(result, update, nowNanos);
            skippedUpdates.recordSkipped(
                    result,
                    contents.version().digest(),
                    "%s toRevision=%d isWhole=%s controller=%s"
                            .formatted(
                                    contents.describe(),
                                    update.version().revision(),
                                    update.isWhole(),
                                    updated.controllerId()));
        }
    }

    /** Handles the end of a read. If that fails, the read counts as failed, so that it doesn't stay pending. */
    private void handleRead(FollowEvent event, long nowNanos) {
        boolean isHandled = false;
        try {
            if (event instanceof FollowEvent.Listed listed && listed.number() == readNumber) {
                handleListing(listed.listing(), nowNanos);
            } else if (event instanceof FollowEvent.Watched watched && watched.number() == readNumber) {
                handleWatch(watched.changes(), nowNanos);
            } else if (event instanceof FollowEvent.ReadFailed failed && failed.number() == readNumber) {
                reachability.recordFailure(
                        failed.failure(), contents.version().revision(), follower.ageMillis(nowNanos));
                follower.recordFailed(nowNanos);
            }
            isHandled = true;
        } catch (RuntimeException e) {
            EventLog.warn("store-response-not-applied", "prefix=" + prefix + " " + contents.describe(), e);
        } finally {
            if (!isHandled) {
                follower.recordFailed(nowNanos);
            }
        }
    }

    private void handleListing(Listing listing, long nowNanos) {
        reachability.recordResponse(contents.version().revision());
        boolean isNew = listing.revision() >= contents.version().revision();
        contents.applyListing(listing, circumstances());
        recordRead(0, isNew, nowNanos);
    }

    private void handleWatch(Optional<Changes> changes, long nowNanos) {
        ViewVersion held = contents.version();
        reachability.recordResponse(held.revision());
        if (changes.isEmpty()) {
            EventLog.info("store-history-lost", "prefix=" + prefix + " revision=" + held.revision());
            recordRead(0, false, nowNanos);
        } else if (changes.get().changes().isEmpty()) {
            // If the revision rose without a change, the store may have withheld one, as when it dropped its history.
            recordRead(0, changes.get().revision() <= held.revision(), nowNanos);
        } else {
            contents.applyChanges(changes.get(), circumstances());
            recordRead(changes.get().changes().size(), true, nowNanos);
        }
    }

    private ReadCircumstances circumstances() {
        return new ReadCircumstances(follower.changedAt(), isWithinGrace());
    }

    private void recordRead(int changeCount, boolean isComplete, long nowNanos) {
        boolean isCurrent = follower.recordRead(contents.version(), changeCount, isComplete, nowNanos);
        mustReport = mustReport || isCurrent;
        recordCaughtUp();
    }

    private boolean isWithinGrace() {
        boolean isJustRestored =
                wasRestored && clockNanos.getAsLong() - restoredNanos < REWRITE_GRACE_MILLIS * NANOS_PER_MILLI;
        return isJustRestored || reachability.hasJustRecovered(REWRITE_GRACE_MILLIS);
    }

    private void removeLapsed() {
        if (contents.hasLapsed() && !reachability.isUnreachable() && !isWithinGrace()) {
            contents.removeLapsed();
            follower.recordChanged(contents.version());
        }
    }

    /** Sends each follower what it lacks, and then to all what is held here. */
    private void tellOthers() {
        recordControl(peers.isController());
        if (!isController || !contents.canBeTold()) {
            mustReport = false;
            return;
        }
        ViewVersion own = contents.version();
        Map<Telling, PeerMessage.ViewUpdated> messageByNeed = new HashMap<>();
        int wholeCount = 0;
        int differenceCount = 0;
        for (Telling telling : teller.next(own, contents::hasDifferenceFrom, clockNanos.getAsLong())) {
            PeerMessage.ViewUpdated message =
                    messageByNeed.computeIfAbsent(telling.withoutRouter(), need -> update(need));
            peers.send(telling.routerId(), message);
            wholeCount += message.update().isWhole() ? 1 : 0;
            differenceCount += message.update().isWhole() ? 0 : 1;
        }
        if (wholeCount + differenceCount > 0) {
            sentUpdates.record(own, contents.describe(), differenceCount, wholeCount);
        }
        if (mustReport) {
            mustReport = false;
            peers.broadcast(new PeerMessage.ViewReport(prefix, own, follower.ageMillis(clockNanos.getAsLong())));
        }
    }

    private PeerMessage.ViewUpdated update(Telling need) {
        return new PeerMessage.ViewUpdated(contents.updateFrom(need.held(), need.isWhole()));
    }

    /**
     * Records whether this router is the controller. What followers said before it knew that counts; once it has lost
     * the control, they follow another router and have to say it again.
     */
    private void recordControl(boolean isControllerNow) {
        if (isController && !isControllerNow) {
            teller.forgetAll();
        }
        isController = isControllerNow;
    }

    private void reportAge() {
        if (follower.currentNanos() != currentNanos) {
            currentNanos = follower.currentNanos();
            reports.currentNanos().accept(currentNanos);
        }
        staleView.record(follower.ageMillis(clockNanos.getAsLong()), contents.describe());
    }
}
