package org.daisyscale.core.following;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Predicate;

/**
 * The age of a view. A view that lacks something ages from the oldest report of it: no later report, no update that is
 * applied in part and no report that repeats what is held makes it younger. Not thread-safe; confined to one thread.
 */
final class ViewAge {
    /** Maximum number of reports that are kept; of more, the oldest ones count, which decide how old the view is. */
    private static final int MAX_MISSED_REPORTS = 64;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Deque<Report> missedReports = new ArrayDeque<>();
    private long currentNanos;
    private boolean isProven;

    /** Creates the age of a view that counts as current at {@code nowNanos}. */
    ViewAge(long nowNanos) {
        this.currentNanos = nowNanos;
    }

    /** Records a report of something that the view lacks. */
    void recordMissed(ViewVersion reported, long nowNanos) {
        if (!missedReports.isEmpty() && missedReports.getLast().version().equals(reported)) {
            return;
        }
        if (missedReports.size() == MAX_MISSED_REPORTS) {
            missedReports.removeLast();
        }
        missedReports.addLast(new Report(reported, nowNanos));
    }

    /** Records that {@code held} is held now, which may be less than what was reported. */
    void recordHeld(ViewVersion held) {
        removeReached(report -> report.isReachedBy(held));
    }

    /**
     * Records a report of the same items as are held, which the store proved at {@code nanos}; the view is current
     * unless it lacks what was reported before.
     */
    void recordMatching(ViewVersion reported, long nanos) {
        removeReached(report -> report.isReachedBy(reported));
        if (missedReports.isEmpty()) {
            markCurrent(nanos);
        }
    }

    /**
     * Records a read of the store that proved at {@code nanos} that {@code held}, which is held now, lacks nothing; the
     * view is current unless more was reported.
     */
    void recordRead(ViewVersion held, long nanos) {
        removeReached(report -> report.isReachedBy(held) || report.version().revision() <= held.revision());
        if (missedReports.isEmpty()) {
            markCurrent(nanos);
        }
    }

    /** Removes the reports that are reached; the view was current when those before the first other one arrived. */
    private void removeReached(Predicate<Report> isReached) {
        while (!missedReports.isEmpty() && isReached.test(missedReports.getFirst())) {
            markCurrent(missedReports.removeFirst().nanos());
        }
        missedReports.removeIf(isReached);
    }

    private void markCurrent(long nanos) {
        if (nanos - currentNanos >= 0) {
            currentNanos = nanos;
            isProven = true;
        }
    }

    /** Returns whether the view lacks something that was reported. */
    boolean hasGap() {
        return !missedReports.isEmpty();
    }

    /** Returns when the oldest report of something that the view lacks arrived; there must be one. */
    long gapNanos() {
        return missedReports.getFirst().nanos();
    }

    /** Returns whether the view was known to lack nothing since it was created. */
    boolean isProven() {
        return isProven;
    }

    /** Returns when the view was last known to lack nothing; when it was created, if it never was. */
    long currentNanos() {
        return currentNanos;
    }

    /** Returns the time since the view was last known to lack nothing, in milliseconds. */
    long millis(long nowNanos) {
        return (nowNanos - currentNanos) / NANOS_PER_MILLI;
    }

    /**
     * A report of the controller that is not reached here. Immutable.
     *
     * @param version what the controller holds
     * @param nanos when the report arrived
     */
    private record Report(ViewVersion version, long nanos) {

        boolean isReachedBy(ViewVersion held) {
            return version.revision() < held.revision() || version.hasSameItems(held);
        }
    }
}
