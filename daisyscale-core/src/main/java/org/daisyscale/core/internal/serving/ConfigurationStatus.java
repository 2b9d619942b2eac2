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
