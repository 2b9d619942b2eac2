package org.daisyscale.core.internal.control;

import java.util.List;
import org.daisyscale.core.ownership.OwnershipMap;
import org.daisyscale.core.ownership.RangeAssignment;
import org.daisyscale.core.ownership.Seats;
import org.daisyscale.core.ownership.SliceAssignment;

/** Creates modified copies of ownership maps. Stateless. */
final class MapEdits {

    private MapEdits() {}

    static OwnershipMap withSeats(OwnershipMap map, Seats seats) {
        return new OwnershipMap(map.version(), map.term(), map.writeId(), seats, map.ranges(), map.slices());
    }

    static OwnershipMap withRanges(OwnershipMap map, List<RangeAssignment> ranges) {
        return ranges.equals(map.ranges())
                ? map
                : new OwnershipMap(map.version(), map.term(), map.writeId(), map.seats(), ranges, map.slices());
    }

    static OwnershipMap withSlices(OwnershipMap map, List<SliceAssignment> slices) {
        return slices.equals(map.slices())
                ? map
                : new OwnershipMap(map.version(), map.term(), map.writeId(), map.seats(), map.ranges(), slices);
    }

    static OwnershipMap nextVersion(OwnershipMap map, long term, String writeId) {
        return new OwnershipMap(map.version() + 1, term, writeId, map.seats(), map.ranges(), map.slices());
    }
}
