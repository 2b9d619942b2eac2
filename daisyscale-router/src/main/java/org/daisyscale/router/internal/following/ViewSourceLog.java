package org.daisyscale.router.internal.following;

import java.util.function.LongSupplier;
import org.daisyscale.core.following.ReadRequest.Reason;
import org.daisyscale.router.internal.log.EventReporter;

/**
 * Reports whether a duty is told of changes under its prefix by the controller or reads the store itself: one line for
 * each switch. While the store is read, one more line says that a call failed; retries have none. Not thread-safe;
 * confined to one thread.
 */
final class ViewSourceLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final EventReporter log;
    private final String prefix;
    private final LongSupplier clockNanos;
    private Source source = Source.NONE;
    private long sinceNanos;
    private boolean hasStoreFailed;

    ViewSourceLog(EventReporter log, String prefix, LongSupplier clockNanos) {
        this.log = log;
        this.prefix = prefix;
        this.clockNanos = clockNanos;
        this.sinceNanos = clockNanos.getAsLong();
    }

    /** Records that the duty waits for what the controller sends; {@code revision} is the newest one known here. */
    void recordController(long revision) {
        if (source != Source.CONTROLLER) {
            change(Source.CONTROLLER, "controller-confirms", false, revision);
        }
    }

    /**
     * Records that the duty reads the store.
     *
     * @param reason why it does
     * @param revision the newest revision known here
     */
    void recordStore(Reason reason, long revision) {
        boolean isFirstFailure = reason == Reason.STORE_FAILED && !hasStoreFailed;
        if (source != Source.STORE || isFirstFailure) {
            change(Source.STORE, reason.label(), reason == Reason.STORE_FAILED, revision);
        }
    }

    private void change(Source newSource, String reason, boolean hasFailed, long revision) {
        long nowNanos = clockNanos.getAsLong();
        log.report(
                "view-source-changed",
                "prefix=%s source=%s reason=%s revision=%d before=%s beforeMillis=%d"
                        .formatted(
                                prefix,
                                newSource.label,
                                reason,
                                revision,
                                source.label,
                                (nowNanos - sinceNanos) / NANOS_PER_MILLI));
        source = newSource;
        sinceNanos = nowNanos;
        hasStoreFailed = hasFailed;
    }

    private enum Source {
        NONE("none"),
        CONTROLLER("controller"),
        STORE("store");

        private final String label;

        Source(String label) {
            this.label = label;
        }
    }
}
