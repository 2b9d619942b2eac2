package org.daisyscale.core.internal.serving;

import java.util.OptionalLong;
import org.daisyscale.core.serving.ConfigurationSource;
import org.daisyscale.core.serving.RoutingTable;

/**
 * Tracks which version of the configuration is in force, where it came from, and when it was last known that operators
 * had written nothing newer. Not thread-safe; confined to the core thread.
 */
final class ConfigurationStatus {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time within which what operators write must be in force, in milliseconds; required by the platform. */
    private static final long APPLY_LIMIT_MILLIS = 2_000;
    /** Maximum time of a transfer between two data centres, in milliseconds; well above the usual latency. */
    private static final long TRANSFER_MILLIS = 250;
    /**
     * Maximum time that a confirmation takes, in milliseconds: it comes from the store by way of the controller. The
     * age does not include it.
     */
    private static final long CONFIRMATION_DELAY_MILLIS = 2 * TRANSFER_MILLIS;
    /** Age up to which the configuration certainly has all that must be in force, in milliseconds. */
    private static final long MAX_CURRENT_AGE_MILLIS = APPLY_LIMIT_MILLIS - CONFIRMATION_DELAY_MILLIS;

    private long version;
    private ConfigurationSource source = ConfigurationSource.fromStore(0);
    private boolean isConfirmed;
    private long confirmedNanos;

    /** Records that {@code table}, which came from {@code newSource}, is in force. */
    void replace(RoutingTable table, ConfigurationSource newSource) {
        version = table.version();
        source = newSource;
    }

    /** Records that the configuration was complete at {@code nanos}, by the monotonic clock. */
    void confirm(long nanos) {
        if (!isConfirmed || nanos - confirmedNanos > 0) {
            isConfirmed = true;
            confirmedNanos = nanos;
        }
    }

    /**
     * Returns the time since the configuration was last known to be complete, in milliseconds; empty if it never was.
     */
    OptionalLong ageMillis(long nowNanos) {
        return isConfirmed
                ? OptionalLong.of(Math.max(0, nowNanos - confirmedNanos) / NANOS_PER_MILLI)
                : OptionalLong.empty();
    }

    /** Returns whether all that must be in force is certainly in force; otherwise operators may have written more. */
    boolean isCurrent(long nowNanos) {
        OptionalLong ageMillis = ageMillis(nowNanos);
        return ageMillis.isPresent() && ageMillis.getAsLong() <= MAX_CURRENT_AGE_MILLIS;
    }

    /** Describes version, age and source for the log. */
    String describe(long nowNanos) {
        OptionalLong ageMillis = ageMillis(nowNanos);
        return "configurationVersion=%d viewAgeMillis=%s source=%s sourceRevision=%d"
                .formatted(
                        version,
                        ageMillis.isPresent() ? ageMillis.getAsLong() : "unknown",
                        source.controllerId().map(id -> "controller:" + id).orElse("store"),
                        source.revision());
    }
}
