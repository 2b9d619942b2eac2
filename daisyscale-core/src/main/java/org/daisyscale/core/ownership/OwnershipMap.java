package org.daisyscale.core.ownership;

import java.util.List;

/**
 * The ownership map of one region: assigns slices of keys to backend servers and dispatch ranges to routers. The map
 * is stored in the platform's service and changed only by compare-and-swap on its version; versions and terms never
 * decrease. The new owner of an assignment with a predecessor may not use it yet. Immutable.
 *
 * @param version increases by one with each write
 * @param term the control term of the writer; a lower term cannot write after a higher one
 * @param writeId the unique id of the write, compared after a lost answer
 * @param seats the routers whose majority confirms the newest map
 * @param ranges the dispatch ranges
 * @param slices the slices, sorted by service and start
 */
public record OwnershipMap(
        long version,
        long term,
        String writeId,
        Seats seats,
        List<RangeAssignment> ranges,
        List<SliceAssignment> slices) {

    public OwnershipMap {
        ranges = List.copyOf(ranges);
        slices = List.copyOf(slices);
    }

    /** Returns the map before the first write: version 0, no seats, no assignments. */
    public static OwnershipMap empty() {
        return new OwnershipMap(0, 0, "", Seats.none(), List.of(), List.of());
    }
}
