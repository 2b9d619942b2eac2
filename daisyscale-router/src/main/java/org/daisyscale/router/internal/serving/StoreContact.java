package org.daisyscale.router.internal.serving;

import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/** Whether the store answers the duty that follows one prefix, and since when. Used by one thread. */
final class StoreContact {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String prefix;
    private boolean isAway;
    private long awaySinceNanos;
    private long lastAbsenceMillis;
    private long returnedNanos;

    StoreContact(String prefix) {
        this.prefix = prefix;
    }

    boolean isAway() {
        return isAway;
    }

    /** A call failed; {@code revision} is what is known. */
    void lost(StoreException failure, long revision) {
        if (!isAway) {
            isAway = true;
            awaySinceNanos = System.nanoTime();
            EventLog.warn("store-lost", "prefix=" + prefix + " revision=" + revision + " reason=" + failure.detail());
        }
    }

    /** A call was answered; {@code revision} is what is known. */
    void answered(long revision) {
        if (isAway) {
            isAway = false;
            returnedNanos = System.nanoTime();
            lastAbsenceMillis = (returnedNanos - awaySinceNanos) / NANOS_PER_MILLI;
            EventLog.info(
                    "store-regained",
                    "prefix=%s revision=%d absentMillis=%d".formatted(prefix, revision, lastAbsenceMillis));
        }
    }

    /** Whether the store came back within {@code graceMillis} after an absence of {@code absenceMillis} or more. */
    boolean isJustBack(long absenceMillis, long graceMillis) {
        return lastAbsenceMillis >= absenceMillis && System.nanoTime() - returnedNanos < graceMillis * NANOS_PER_MILLI;
    }
}
