package org.daisyscale.core.serving;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What changed from one state of a key map to a later one: of hundreds of ranges, most changes concern a few.
 * Immutable.
 *
 * @param service the service
 * @param fromVersion the version of the map that the change applies to
 * @param fromProgress the progress of the map that the change applies to
 * @param version the version of the resulting map
 * @param progress the progress of the resulting map
 * @param nextFence the next fence of the resulting map
 * @param assignments the changed ranges of the resulting map, in order of keys; they cover exactly the keys of the
 *     ranges that they replace
 */
public record KeyMapChange(
        String service,
        long fromVersion,
        int fromProgress,
        long version,
        int progress,
        long nextFence,
        List<KeyAssignment> assignments) {

    public KeyMapChange {
        assignments = List.copyOf(assignments);
    }

    /** Returns the change from {@code before} to {@code after}, two maps of the same service. */
    public static KeyMapChange between(KeyMap before, KeyMap after) {
        Set<KeyAssignment> unchanged = new HashSet<>(before.assignments());
        List<KeyAssignment> changed = after.assignments().stream()
                .filter(assignment -> !unchanged.contains(assignment))
                .toList();
        return new KeyMapChange(
                after.service(),
                before.version(),
                before.progress(),
                after.version(),
                after.progress(),
                after.nextFence(),
                changed);
    }

    /** Returns whether this change applies to {@code map}. */
    public boolean appliesTo(KeyMap map) {
        return map.service().equals(service) && map.version() == fromVersion && map.progress() == fromProgress;
    }

    /** Returns the map that results from {@code before}, which this change must apply to. */
    public KeyMap applyTo(KeyMap before) {
        return new KeyMap(service, version, progress, nextFence, replaceIn(before.assignments()));
    }

    /** Returns whether {@code next} starts where this change ends. */
    public boolean isFollowedBy(KeyMapChange next) {
        return next.service.equals(service) && next.fromVersion == version && next.fromProgress == progress;
    }

    /** Returns the change that has the effect of this one and then of {@code next}, which must follow this one. */
    public KeyMapChange then(KeyMapChange next) {
        return new KeyMapChange(
                service,
                fromVersion,
                fromProgress,
                next.version,
                next.progress,
                next.nextFence,
                next.replaceIn(assignments));
    }

    /** Returns {@code ranges} with those that overlap a changed range replaced by the changed ranges. */
    private List<KeyAssignment> replaceIn(List<KeyAssignment> ranges) {
        return Stream.concat(ranges.stream().filter(range -> !overlapsChanged(range)), assignments.stream())
                .sorted(Comparator.comparingInt(KeyAssignment::firstKey))
                .toList();
    }

    private boolean overlapsChanged(KeyAssignment range) {
        return assignments.stream()
                .anyMatch(changed -> changed.firstKey() <= range.lastKey() && range.firstKey() <= changed.lastKey());
    }
}
