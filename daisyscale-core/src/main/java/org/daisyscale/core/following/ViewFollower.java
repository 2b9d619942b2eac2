package org.daisyscale.core.following;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.daisyscale.core.following.FollowStep.Holding;
import org.daisyscale.core.following.ReadRequest.Kind;
import org.daisyscale.core.following.ReadRequest.Reason;
import org.daisyscale.core.serving.EventTime;

/**
 * Decides how a router keeps its view of one prefix current: when it tells the controller what it holds, and when it
 * reads the store. A view is current when it holds the same items as the controller's, or when the store was just read.
 * A gap is answered in three stages, all within the time limit of a change: the controller sends the difference
 * unasked, the follower says what it holds and gets the difference from that, and the follower reads the store. Not
 * thread-safe; confined to one thread.
 */
public final class ViewFollower {
    /** How long the store holds a watch of the controller, in milliseconds; each response is reported to the others. */
    public static final long CONTROLLER_WAIT_MILLIS = 500;
    /** How long the store holds a watch of a router that hears no controller, in milliseconds. */
    public static final long ALONE_WAIT_MILLIS = 900;
    /** Time after which the controller gives up a watch and lists, in milliseconds: a lost response never comes. */
    public static final long CONTROLLER_OVERDUE_MILLIS = 800;
    /**
     * Age from which a router that follows the controller reads the store, in milliseconds: two reports fit into it,
     * and a call without a response and a second one still end within the 2 s in which a change must be in force.
     */
    public static final long TOLD_OVERDUE_MILLIS = 1_100;
    /**
     * How long a router expects another one to take over from a silent controller, in milliseconds: the time to live of
     * the control lease, the election and the first report. Meanwhile it lists whenever its view is {@link
     * #TOLD_OVERDUE_MILLIS} old, because a watch ends with each change and costs a call each time.
     */
    public static final long TAKEOVER_MILLIS = 3_500;
    /** Time after which a router that hears no controller gives up a watch and lists, in milliseconds. */
    public static final long ALONE_OVERDUE_MILLIS = 1_400;
    /** Age of a gap at which the follower asks, in milliseconds: more than the latency between two data centres. */
    public static final long ASK_AFTER_MILLIS = 250;
    /** Time between two questions about the same gap, in milliseconds. */
    public static final long ASK_AGAIN_MILLIS = 300;
    /** Shortest time between two reads of the store while the controller is heard, in milliseconds. */
    public static final long READ_AGAIN_MILLIS = 600;
    /** Reads of several routers that notice the same fault are spread over this time, in milliseconds. */
    public static final long READ_SPREAD_MILLIS = 100;
    /** Longest time between two steps, in milliseconds; this router may become the controller meanwhile. */
    private static final long MAX_STEP_MILLIS = 200;
    /** Time since the last step from which this router stood still, so that events may have waited, in milliseconds. */
    static final long STALLED_MILLIS = 500;

    private final RandomGenerator random;
    private final boolean isListedWhileChanging;
    private final boolean isTakeoverAwaited;
    private final long createdNanos;
    private final ViewAge age;
    private final TellerDialogue dialogue;
    private final StoreReads reads;
    private ViewVersion held = ViewVersion.NONE;
    private boolean isKnown;
    private boolean needsListing = true;
    private boolean wasController;
    private boolean isChangingQuickly;
    private long spreadNanos;
    private long steppedNanos;

    /**
     * Creates a follower that holds nothing.
     *
     * @param random spreads the reads of several routers
     * @param batchMillis changes that follow each other within this time are read with one call, in milliseconds
     * @param isListedWhileChanging whether the prefix is listed while changes arrive faster than they are read, because
     *     a listing has only the newest version of a large item
     * @param nowNanos the time by the monotonic clock
     */
    public ViewFollower(RandomGenerator random, long batchMillis, boolean isListedWhileChanging, long nowNanos) {
        this(random, batchMillis, isListedWhileChanging, false, nowNanos);
    }

    /**
     * Creates a follower that holds nothing.
     *
     * @param isTakeoverAwaited whether this router lists now and then instead of watching at its start and after the
     *     controller fell silent, until a controller should have reported ({@link #TAKEOVER_MILLIS}); not for the
     *     prefix that shows who is the controller
     */
    public ViewFollower(
            RandomGenerator random,
            long batchMillis,
            boolean isListedWhileChanging,
            boolean isTakeoverAwaited,
            long nowNanos) {
        this.random = random;
        this.isListedWhileChanging = isListedWhileChanging;
        this.isTakeoverAwaited = isTakeoverAwaited;
        this.createdNanos = nowNanos;
        this.steppedNanos = nowNanos;
        this.age = new ViewAge(nowNanos);
        this.dialogue = new TellerDialogue();
        this.reads = new StoreReads(random, batchMillis, nowNanos);
        drawSpread();
    }

    private void drawSpread() {
        spreadNanos = random.nextLong(Deadlines.nanos(READ_SPREAD_MILLIS));
    }

    /**
     * Records that {@code reporter} has read the store and holds {@code reported}.
     *
     * @param ageMillis the time from when the store proved that until the report was sent, in milliseconds
     * @param nowNanos when the report arrived
     * @return whether this router holds the same items, so that it has what the reporter has up to that revision
     */
    public boolean hear(Teller reporter, ViewVersion reported, long ageMillis, long nowNanos) {
        long arrivedNanos = arrivedNanos(nowNanos);
        long provenNanos = arrivedNanos - Deadlines.nanos(ageMillis);
        dialogue.recordHeard(reporter, arrivedNanos);
        if (isKnown && reported.hasSameItems(held)) {
            held = new ViewVersion(Math.max(held.revision(), reported.revision()), held.digest());
            needsListing = false;
            dialogue.recordMatching();
            age.recordMatching(reported, provenNanos);
            return true;
        }
        if (reported.revision() >= held.revision()) {
            age.recordMissed(reported, provenNanos);
        }
        return false;
    }

    /** Returns the earliest time at which an event that is handled now may have arrived. */
    private long arrivedNanos(long nowNanos) {
        return isStalled(nowNanos) ? steppedNanos : nowNanos;
    }

    private boolean isStalled(long nowNanos) {
        return Deadlines.hasPassed(STALLED_MILLIS, steppedNanos, nowNanos);
    }

    /** Records that an update of the controller was applied, after which {@code newHeld} is held. */
    public void recordApplied(ViewVersion newHeld) {
        isKnown = true;
        needsListing = false;
        dialogue.recordApplied();
        hold(newHeld);
    }

    /** Records that {@code update} was not applied. */
    public void recordRefused(UpdateResult result, ViewUpdate update, long nowNanos) {
        if (result.needsWhole()) {
            dialogue.recordRefused(true, update.isWhole(), nowNanos);
        } else if (!update.version().hasSameItems(held)) {
            boolean wouldRepeat = update.version().revision() >= held.revision();
            dialogue.recordRefused(false, wouldRepeat, nowNanos);
        }
    }

    /** Records that the view changed by itself, as when an item lapsed; {@code newHeld} is held now. */
    public void recordChanged(ViewVersion newHeld) {
        dialogue.recordChanged(false);
        hold(newHeld);
    }

    private void hold(ViewVersion newHeld) {
        held = newHeld;
        age.recordHeld(held);
    }

    /**
     * Records the response to the pending read, after which {@code newHeld} is held.
     *
     * @param changeCount the number of changes in the response to a watch; 0 for a listing
     * @param isComplete whether the response proves that the view lacks nothing; otherwise the prefix must be listed
     * @return whether the view lacked nothing just now, so that the controller may report it
     */
    public boolean recordRead(ViewVersion newHeld, int changeCount, boolean isComplete, long nowNanos) {
        boolean isChanged = !newHeld.hasSameItems(held);
        long provenNanos = reads.recordResponse(changeCount, isComplete, arrivedNanos(nowNanos), nowNanos);
        isChangingQuickly = isListedWhileChanging && (changeCount > 1 || (isChangingQuickly && isChanged));
        needsListing = !isComplete;
        isKnown = isKnown || isComplete;
        if (isChanged) {
            dialogue.recordChanged(isComplete);
        }
        drawSpread();
        hold(newHeld);
        if (isComplete) {
            age.recordRead(newHeld, provenNanos);
        }
        return isComplete && !isStalled(nowNanos);
    }

    /** Records that the pending read failed. */
    public void recordFailed(long nowNanos) {
        needsListing = true;
        reads.recordFailed(nowNanos);
    }

    /** Returns whether the controller reported lately, so that this router follows it and not the store. */
    public boolean isTold(long nowNanos) {
        return dialogue.hasTeller() && nowNanos - silentNanos() < 0;
    }

    /** Returns whether this router relies on a controller: one that reported lately, or one that is expected to. */
    private boolean isFollowing(boolean isController, long nowNanos) {
        return !isController && (isTold(nowNanos) || (isTakeoverAwaited && nowNanos - takeoverEndNanos() < 0));
    }

    /** Returns when a controller should have reported, counted from the last report or from the start. */
    private long takeoverEndNanos() {
        long sinceNanos = dialogue.hasBeenHeard() ? dialogue.heardNanos() : createdNanos;
        return sinceNanos + Deadlines.nanos(TAKEOVER_MILLIS) + spreadNanos;
    }

    /** Returns when the teller counts as silent unless it reports again. */
    private long silentNanos() {
        return dialogue.heardNanos() + Deadlines.nanos(TOLD_OVERDUE_MILLIS) + spreadNanos;
    }

    /** Returns when the view is too old to wait for the teller, unless it becomes current. */
    private long overdueNanos() {
        return age.currentNanos() + Deadlines.nanos(TOLD_OVERDUE_MILLIS) + spreadNanos;
    }

    /** Returns whether the controller reported something that this view lacks. */
    public boolean isBehind() {
        return age.hasGap();
    }

    /** Returns the time since the view was last known to lack nothing, in milliseconds. */
    public long ageMillis(long nowNanos) {
        return age.millis(nowNanos);
    }

    /** Returns when a change that arrives now was made: not before the view was last known to lack nothing. */
    public EventTime changedAt() {
        return isKnown && age.isProven() ? EventTime.notBefore(currentNanos()) : EventTime.UNKNOWN;
    }

    /** Returns when the view was last known to lack nothing, by the monotonic clock. */
    public long currentNanos() {
        return age.currentNanos();
    }

    /**
     * Decides what to do now; what the step asks for counts as done.
     *
     * @param isController whether this router is the controller, which reads the store for all
     */
    public FollowStep next(boolean isController, long nowNanos) {
        boolean isFollowing = isFollowing(isController, nowNanos);
        wasController = wasController && isController;
        Optional<Holding> holding = isFollowing ? dialogue.next(held, age, nowNanos) : Optional.empty();
        Optional<ReadRequest> read = isFollowing ? readWhileTold(nowNanos) : readAlone(isController, nowNanos);
        read.ifPresent(request -> reads.recordStarted(request, nowNanos));
        steppedNanos = nowNanos;
        return new FollowStep(holding, read, waitMillis(isController, isFollowing, nowNanos));
    }

    /** Returns the read that is needed although the controller is heard. */
    private Optional<ReadRequest> readWhileTold(long nowNanos) {
        if (reads.isPending() && !reads.isWatchPending()) {
            return Optional.empty();
        }
        boolean isOld = nowNanos - overdueNanos() >= 0 && nowNanos - reads.againNanos(READ_AGAIN_MILLIS) >= 0;
        boolean isNeeded = isOld || (!isKnown && !reads.isPending());
        Reason reason = isTold(nowNanos) ? Reason.CONTROLLER_AHEAD : Reason.CONTROLLER_SILENT;
        return isNeeded && reads.mayStart(nowNanos) ? Optional.of(list(reason)) : Optional.empty();
    }

    private Optional<ReadRequest> readAlone(boolean isController, long nowNanos) {
        if (isController && !wasController) {
            return listAsNewController(nowNanos);
        }
        return reads.isPending() ? readInstead(isController, nowNanos) : read(isController, nowNanos);
    }

    /**
     * Returns the listing of a new controller: a watch would not report the removal of items that the former one still
     * held because they may have lapsed.
     */
    private Optional<ReadRequest> listAsNewController(long nowNanos) {
        boolean isListing = reads.isPending() && !reads.isWatchPending();
        boolean mayList = reads.isWatchPending() || reads.mayStart(nowNanos);
        wasController = isListing || mayList;
        return mayList && !isListing ? Optional.of(list(Reason.CONTROLLER)) : Optional.empty();
    }

    /** Returns the listing to start instead of a pending watch whose response seems lost. */
    private Optional<ReadRequest> readInstead(boolean isController, long nowNanos) {
        boolean isLost = reads.isWatchPending() && !reads.hasStartedWithin(watchMillis(isController), nowNanos);
        return isLost ? Optional.of(list(aloneReason(isController))) : Optional.empty();
    }

    private static long watchMillis(boolean isController) {
        return isController ? CONTROLLER_OVERDUE_MILLIS : ALONE_OVERDUE_MILLIS;
    }

    private Optional<ReadRequest> read(boolean isController, long nowNanos) {
        if (!reads.mayStart(nowNanos)) {
            return Optional.empty();
        }
        boolean fellSilent = !isController && dialogue.forgetTeller();
        boolean isListing = needsListing || fellSilent || isChangingQuickly;
        long waitMillis = isController ? CONTROLLER_WAIT_MILLIS : ALONE_WAIT_MILLIS;
        Reason reason = aloneReason(isController);
        return Optional.of(isListing ? list(reason) : new ReadRequest(Kind.WATCH, held.revision(), waitMillis, reason));
    }

    private static Reason aloneReason(boolean isController) {
        return isController ? Reason.CONTROLLER : Reason.CONTROLLER_SILENT;
    }

    private ReadRequest list(Reason cause) {
        Reason reason = isKnown ? cause : Reason.NOT_LISTED;
        return new ReadRequest(Kind.LIST, 0, 0, reads.hasJustFailed() ? Reason.STORE_FAILED : reason);
    }

    /** Returns the time until something may have to be done without an event. */
    private long waitMillis(boolean isController, boolean isFollowing, long nowNanos) {
        Deadlines deadlines = new Deadlines(nowNanos, MAX_STEP_MILLIS);
        if (isFollowing) {
            dialogue.addDeadlines(deadlines, age);
            deadlines.add(isTakeoverAwaited ? takeoverEndNanos() : silentNanos());
            deadlines.add(overdueNanos());
            deadlines.add(reads.againNanos(READ_AGAIN_MILLIS));
        }
        if (!isFollowing || !isKnown) {
            reads.addDeadlines(deadlines, watchMillis(isController));
        }
        return deadlines.waitMillis();
    }
}
