package org.daisyscale.cli.internal.burn;

import java.util.List;
import java.util.Map;

/**
 * The service-level burn over a series of samples. Immutable.
 *
 * @param fromEpochMillis the oldest sample's time, in milliseconds since the epoch
 * @param toEpochMillis the newest sample's time, in milliseconds since the epoch
 * @param kinds the burn of each kind, sorted by service and kind
 * @param invariantsBroken the broken invariants that the report counts, by promise; only counts above zero
 * @param notes the gaps in the samples, in sentences
 */
public record BurnReport(
        long fromEpochMillis,
        long toEpochMillis,
        List<KindBurn> kinds,
        Map<String, Double> invariantsBroken,
        List<String> notes) {

    public BurnReport {
        kinds = List.copyOf(kinds);
        invariantsBroken = Map.copyOf(invariantsBroken);
        notes = List.copyOf(notes);
    }
}
