package org.daisyscale.router.internal.serving;

import java.util.EnumSet;
import java.util.Set;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Reports updates of the controller that were skipped. While the same state is held here, only the first one for each
 * reason has a line; the others are counted, and their number is in the next line or in the one that says that this
 * router has caught up. Not thread-safe; confined to one thread.
 */
final class SkippedUpdateLog {
    private final EventReporter log;
    private final String skippedEvent;
    private final String caughtUpEvent;
    private final Set<UpdateResult> reportedReasons = EnumSet.noneOf(UpdateResult.class);
    private long reportedHeld;
    private long unreportedCount;

    /** Creates the log. {@code skippedEvent} and {@code caughtUpEvent} are the names of its events. */
    SkippedUpdateLog(EventReporter log, String skippedEvent, String caughtUpEvent) {
        this.log = log;
        this.skippedEvent = skippedEvent;
        this.caughtUpEvent = caughtUpEvent;
    }

    /**
     * Records that an update was skipped.
     *
     * @param reason why it was skipped
     * @param held the version or revision that is held here instead
     * @param detail the circumstances
     */
    void recordSkipped(UpdateResult reason, long held, String detail) {
        if (held != reportedHeld) {
            reportedReasons.clear();
            reportedHeld = held;
        }
        if (reportedReasons.add(reason)) {
            log.report(
                    skippedEvent, "%s reason=%s skippedBefore=%d".formatted(detail, reason.label(), unreportedCount));
            unreportedCount = 0;
        } else {
            unreportedCount++;
        }
    }

    /** Records that what is held here is complete again; {@code detail} says what that is. */
    void recordCaughtUp(String detail) {
        if (unreportedCount > 0) {
            log.report(caughtUpEvent, detail + " skippedBefore=" + unreportedCount);
            unreportedCount = 0;
        }
    }
}
