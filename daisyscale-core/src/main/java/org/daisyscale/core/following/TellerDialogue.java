package org.daisyscale.core.following;

import java.util.Optional;
import org.daisyscale.core.following.FollowStep.Holding;

/**
 * What a follower tells the controller: what it holds, once for each controller and connection, after each change, and
 * again while a gap is not closed. Not thread-safe; confined to one thread.
 */
final class TellerDialogue {
    /** Maximum number of times that the pause between two questions doubles while their answers can't be applied. */
    private static final int MAX_REPEAT_DOUBLINGS = 4;

    private Optional<Teller> teller = Optional.empty();
    private long heardNanos;
    private boolean hasBeenHeard;
    private boolean hasSaid;
    private boolean mustSay;
    private boolean needsWhole;
    /** How often in a row the same question would have had the same answer. */
    private int repeatCount;

    private long saidNanos;
    /** Whether nothing is said before {@link #notBeforeNanos}, since it would have the same answer. */
    private boolean isPaused;

    private long notBeforeNanos;

    void recordHeard(Teller reporter, long nowNanos) {
        if (!teller.equals(Optional.of(reporter))) {
            teller = Optional.of(reporter);
            hasSaid = false;
            endPause();
        }
        heardNanos = nowNanos;
        hasBeenHeard = true;
    }

    /** Forgets the teller, because it fell silent; returns whether there was one. */
    boolean forgetTeller() {
        boolean hadTeller = teller.isPresent();
        teller = Optional.empty();
        return hadTeller;
    }

    /** Records that an update of the teller was applied, which has to be acknowledged. */
    void recordApplied() {
        needsWhole = false;
        mustSay = true;
        endPause();
    }

    /** Records that the view changed otherwise; {@code isComplete} says that it lacks nothing. */
    void recordChanged(boolean isComplete) {
        needsWhole = needsWhole && !isComplete;
        mustSay = mustSay || hasSaid;
        endPause();
    }

    /** Records that the teller holds the same items. */
    void recordMatching() {
        mustSay = mustSay || (hasSaid && needsWhole);
        needsWhole = false;
        endPause();
    }

    private void endPause() {
        isPaused = false;
        repeatCount = 0;
    }

    /**
     * Records that an update was not applied.
     *
     * @param wouldRepeat whether the answer to the same question would be the same update, so that it is asked later
     */
    void recordRefused(boolean isWholeNeeded, boolean wouldRepeat, long nowNanos) {
        needsWhole = isWholeNeeded;
        mustSay = true;
        if (wouldRepeat) {
            isPaused = true;
            notBeforeNanos = nowNanos + Deadlines.nanos(ViewFollower.ASK_AGAIN_MILLIS << repeatCount);
            repeatCount = Math.min(repeatCount + 1, MAX_REPEAT_DOUBLINGS);
        }
    }

    /** Returns when the teller was last heard. */
    long heardNanos() {
        return heardNanos;
    }

    /** Returns whether any teller was ever heard. */
    boolean hasBeenHeard() {
        return hasBeenHeard;
    }

    boolean hasTeller() {
        return teller.isPresent();
    }

    /** Returns what to tell now, which then counts as said. */
    Optional<Holding> next(ViewVersion held, ViewAge age, long nowNanos) {
        boolean isDue = !hasSaid || mustSay || isQuestionDue(age, nowNanos);
        if (!isDue || (isPaused && nowNanos - notBeforeNanos < 0)) {
            return Optional.empty();
        }
        hasSaid = true;
        mustSay = false;
        saidNanos = nowNanos;
        return teller.map(receiver -> new Holding(receiver, held, needsWhole));
    }

    private boolean isQuestionDue(ViewAge age, long nowNanos) {
        return age.hasGap()
                && Deadlines.hasPassed(ViewFollower.ASK_AFTER_MILLIS, age.gapNanos(), nowNanos)
                && Deadlines.hasPassed(ViewFollower.ASK_AGAIN_MILLIS, saidNanos, nowNanos);
    }

    void addDeadlines(Deadlines deadlines, ViewAge age) {
        if (mustSay || !hasSaid) {
            deadlines.add(notBeforeNanos);
        }
        if (age.hasGap()) {
            deadlines.add(age.gapNanos() + Deadlines.nanos(ViewFollower.ASK_AFTER_MILLIS));
            deadlines.add(saidNanos + Deadlines.nanos(ViewFollower.ASK_AGAIN_MILLIS));
        }
    }
}
