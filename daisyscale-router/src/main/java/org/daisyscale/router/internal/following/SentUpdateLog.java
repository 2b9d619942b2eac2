package org.daisyscale.router.internal.following;

import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Reports what the controller sends to the other routers: one line for each version of the view that it sends, with the
 * number of routers that got the difference and the whole view in the same step. Not thread-safe; confined to one
 * thread.
 */
final class SentUpdateLog {
    private final EventReporter log;
    private final String prefix;
    private ViewVersion reported = ViewVersion.NONE;
    private long unreportedCount;

    SentUpdateLog(EventReporter log, String prefix) {
        this.log = log;
        this.prefix = prefix;
    }

    /**
     * Records that updates to {@code version} were sent.
     *
     * @param detail what the controller holds
     * @param differenceCount the number of routers that got a difference
     * @param wholeCount the number of routers that got the whole view
     */
    void record(ViewVersion version, String detail, int differenceCount, int wholeCount) {
        if (version.equals(reported)) {
            unreportedCount += differenceCount + wholeCount;
        } else {
            log.report(
                    "view-sent",
                    "prefix=%s %s differences=%d whole=%d sentAgainBefore=%d"
                            .formatted(prefix, detail, differenceCount, wholeCount, unreportedCount));
            reported = version;
            unreportedCount = 0;
        }
    }
}
