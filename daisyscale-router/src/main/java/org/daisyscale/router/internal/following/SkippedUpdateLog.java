package org.daisyscale.router.internal.following;

import java.util.EnumSet;
import java.util.Set;
import org.daisyscale.core.following.UpdateResult;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Reports updates of the controller that were skipped. While the same state is held here, only the first one for each
 * reason has a line; the others are counted, and their number is in the next line or in the one that says that this
 * router has caught up. Not thread-safe; confined to one thread.
 */
final class SkippedUpdateLog {
    private static final String SKIPPED_EVENT = "view-update-skipped";
    private static final String CAUGHT_UP_EVENT = "view-caught-up";

    private final EventReporter log;
    private final String prefix;
    private final Set<UpdateResult> reportedReasons = EnumSet.noneOf(UpdateResult.class);
    private long reportedHeld;
    private long unreportedCount;

    SkippedUpdateLog(EventReporter log, String prefix) {
        this.log = log;
        this.prefix = prefix;
    }

    /**
     * Records that an update was skipped.
     *
     * @param reason why it was skipped
     * @param held the digest of what is held here instead
     * @param detail the circumstances
     */
    void recordSkipped(UpdateResult reason, long held, String detail) {
        if (held != reportedHeld) {
            reportedReasons.clear();
            reportedHeld = held;
        }
        if (reportedReasons.add(reason)) {
            log.report(
                    SKIPPED_EVENT,
                    "prefix=%s %s reason=%s skippedBefore=%d"
                            .formatted(prefix, detail, reason.label(), unreportedCount));
            unreportedCount = 0;
        } else {
            unreportedCount++;
        }
    }

    /** Records that what is held here is complete again; {@code detail} says what that is. */
    void recordCaughtUp(String detail) {
        if (unreportedCount > 0) {
            log.report(CAUGHT_UP_EVENT, "prefix=%s %s skippedBefore=%d".formatted(prefix, detail, unreportedCount));
            unreportedCount = 0;
        }
    }
}
