package org.daisyscale.router.internal.serving;

import java.util.function.LongSupplier;
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
            change(Source.CONTROLLER, Reason.CONTROLLER_CONFIRMS, revision);
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
            change(Source.STORE, reason, revision);
        }
    }

    private void change(Source newSource, Reason reason, long revision) {
        long nowNanos = clockNanos.getAsLong();
        log.report(
                "view-source-changed",
                "prefix=%s source=%s reason=%s revision=%d before=%s beforeMillis=%d"
                        .formatted(
                                prefix,
                                newSource.label,
                                reason.label,
                                revision,
                                source.label,
                                (nowNanos - sinceNanos) / NANOS_PER_MILLI));
        source = newSource;
        sinceNanos = nowNanos;
        hasStoreFailed = reason == Reason.STORE_FAILED;
    }

    /** Why a duty switched. */
    enum Reason {
        CONTROLLER_CONFIRMS("controller-confirms"),
        CONTROLLER_SILENT("controller-silent"),
        /** The controller has read further, and what it sent does not reach as far here. */
        CONTROLLER_AHEAD("controller-ahead"),
        NOT_LISTED("not-listed"),
        STORE_FAILED("store-failed");

        private final String label;

        Reason(String label) {
            this.label = label;
        }
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
