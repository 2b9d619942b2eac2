package org.daisyscale.core.proof;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A fault of a schedule. Immutable.
 *
 * @param kind the kind of fault
 * @param atMillis when it begins, in milliseconds of true time
 * @param lastsMillis how long it lasts, in milliseconds
 * @param target a number that selects what the fault affects among the candidates
 */
record Fault(FaultKind kind, long atMillis, long lastsMillis, int target) {
    static final long FIRST_FAULT_MILLIS = 5_000;
    static final long LAST_FAULT_MILLIS = 35_000;
    private static final int MAX_FAULTS = 12;

    /** Returns a schedule of all kinds drawn from {@code seed}, sorted by time. Faults may overlap. */
    static List<Fault> schedule(long seed) {
        return schedule(seed, List.of(FaultKind.values()));
    }

    /** Returns a schedule of the given kinds drawn from {@code seed}, sorted by time. Faults may overlap. */
    static List<Fault> schedule(long seed, List<FaultKind> kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> faults = new ArrayList<>();
        int count = 2 + random.nextInt(MAX_FAULTS - 1);
        long atMillis = FIRST_FAULT_MILLIS;
        for (int i = 0; i < count; i++) {
            boolean isClustered = random.nextInt(3) == 0;
            atMillis += isClustered ? random.nextInt(300) : random.nextInt(4_000);
            FaultKind kind = kinds.get(random.nextInt(kinds.size()));
            faults.add(new Fault(
                    kind,
                    Math.min(atMillis, LAST_FAULT_MILLIS),
                    randomDurationMillis(kind, random),
                    random.nextInt(1_000)));
        }
        faults.sort(Comparator.comparingLong(Fault::atMillis));
        return faults;
    }

    private static long randomDurationMillis(FaultKind kind, SplittableRandom random) {
        return switch (kind) {
            case STORE_LONG_OUTAGE -> 60_000 + random.nextInt(30_000);
            case QUICK_RESTART_SERVER -> 1 + random.nextInt(150);
            default -> 50 + (long) (Math.pow(random.nextDouble(), 2) * 8_000);
        };
    }
}
