package org.daisyscale.core.proof;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.daisyscale.core.RenewalMode;

/**
 * Measures in virtual time how long each key is not served after a loss, for each way to renew grants. Prints the
 * percentiles for bin/prove. Stateless.
 */
final class Unavailability {
    private static final long KEY_REQUEST_INTERVAL_MILLIS = 200;
    private static final long WARM_UP_END_MILLIS = 6_000;
    private static final long LOSS_START_MILLIS = 12_000;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long PERMANENT_LOSS_MILLIS = 600_000;
    private static final long REPLACEMENT_DELAY_MILLIS = 3_000;
    private static final long OBSERVATION_MILLIS = 12_000;

    private Unavailability() {}

    static void print(long fromSeed, long toSeed, PrintWriter out) {
        out.printf("unavailable time per key in ms, seeds %d..%d%n", fromSeed, toSeed);
        out.printf("%-32s %-14s %8s %8s %8s%n", "scenario", "way", "median", "99/100", "worst");
        for (Scenario scenario : scenarios()) {
            for (RenewalMode mode : RenewalMode.values()) {
                List<Long> times = LongStream.rangeClosed(fromSeed, toSeed)
                        .parallel()
                        .boxed()
                        .flatMap(seed -> measure(scenario, mode, seed).stream())
                        .sorted()
                        .toList();
                out.printf(
                        "%-32s %-14s %8d %8d %8d%n",
                        scenario.name(), mode, percentile(times, 50), percentile(times, 99), percentile(times, 100));
            }
        }
    }

    private static long percentile(List<Long> sorted, int percent) {
        return sorted.get(Math.max(0, (sorted.size() * percent + 99) / 100 - 1));
    }

    private static List<Scenario> scenarios() {
        List<Scenario> scenarios = new ArrayList<>();
        scenarios.add(new Scenario("no fault", false, null));
        scenarios.add(new Scenario("server lost", false, FaultKind.CRASH_SERVER));
        scenarios.add(new Scenario("dispatcher lost", false, FaultKind.KILL_DISPATCHER));
        scenarios.add(new Scenario("controller lost", false, FaultKind.KILL_CONTROLLER));
        scenarios.add(new Scenario("dispatcher cut from servers", false, FaultKind.DISPATCHER_CUT_FROM_SERVERS));
        scenarios.add(new Scenario("data centre lost", false, FaultKind.LOSE_DATA_CENTRE));
        scenarios.add(new Scenario("data centre cut off", false, FaultKind.CUT_DATA_CENTRE));
        scenarios.add(new Scenario("data centre taken out", false, FaultKind.DATA_CENTRE_OUT));
        scenarios.add(new Scenario("outage 60 s", true, null));
        scenarios.add(new Scenario("outage 60 s, server lost", true, FaultKind.CRASH_SERVER));
        scenarios.add(new Scenario("outage 60 s, dispatcher lost", true, FaultKind.KILL_DISPATCHER));
        scenarios.add(new Scenario("outage 60 s, controller lost", true, FaultKind.KILL_CONTROLLER));
        scenarios.add(new Scenario("outage 60 s, data centre lost", true, FaultKind.LOSE_DATA_CENTRE));
        return scenarios;
    }

    private static List<Long> measure(Scenario scenario, RenewalMode mode, long seed) {
        World world = new World(seed, mode);
        world.start(2, 1);
        Callers callers = new Callers(world, new SplittableRandom(seed));
        callers.start(KEY_REQUEST_INTERVAL_MILLIS);
        new Injector(world).inject(scenario.faults(target(seed)));
        world.scheduler().runUntilMillis(WARM_UP_END_MILLIS);
        callers.availabilityByKey().values().forEach(key -> key.reset(WARM_UP_END_MILLIS));
        long endMillis =
                (scenario.hasOutage() ? WARM_UP_END_MILLIS + OUTAGE_MILLIS : LOSS_START_MILLIS) + OBSERVATION_MILLIS;
        world.scheduler().runUntilMillis(endMillis);
        return callers.availabilityByKey().values().stream()
                .map(key -> key.longestGapMillis(endMillis))
                .toList();
    }

    /**
     * Returns a target that selects a server of an exclusive service. The pooled servers are between those of the
     * exclusive services in the order of ids, so their indexes are skipped.
     */
    private static int target(long seed) {
        int serversPerService = ProofEnvironment.DATA_CENTRES.size();
        int index = (int) (seed % serversPerService);
        return seed % 2 == 0 ? index : 2 * serversPerService + index;
    }

    private record Scenario(String name, boolean hasOutage, FaultKind loss) {

        List<Fault> faults(int target) {
            List<Fault> faults = new ArrayList<>();
            if (hasOutage) {
                faults.add(new Fault(FaultKind.STORE_LONG_OUTAGE, WARM_UP_END_MILLIS, OUTAGE_MILLIS, target));
            }
            if (loss != null) {
                boolean isRouter = loss == FaultKind.KILL_DISPATCHER || loss == FaultKind.KILL_CONTROLLER;
                faults.add(new Fault(
                        loss, LOSS_START_MILLIS, isRouter ? REPLACEMENT_DELAY_MILLIS : PERMANENT_LOSS_MILLIS, target));
            }
            return faults;
        }
    }
}
