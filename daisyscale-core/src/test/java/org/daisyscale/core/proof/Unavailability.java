package org.daisyscale.core.proof;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.daisyscale.core.RenewalMode;

/** Measures how long each key is not served after a loss, in virtual time, for each way to renew. Stateless. */
final class Unavailability {
    private static final long KEY_MILLIS = 200;
    private static final long WARM_MILLIS = 6_000;
    private static final long LOSS_MILLIS = 12_000;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final long GONE_MILLIS = 600_000;
    private static final long REPLACED_MILLIS = 3_000;
    private static final long AFTER_MILLIS = 12_000;

    private Unavailability() {}

    static void print(long fromSeed, long toSeed, PrintWriter out) {
        out.printf("unavailable time per key in ms, seeds %d..%d%n", fromSeed, toSeed);
        out.printf("%-32s %-14s %8s %8s %8s%n", "scenario", "way", "median", "99/100", "worst");
        for (Scenario scenario : scenarios()) {
            for (RenewalMode way : RenewalMode.values()) {
                List<Long> times = LongStream.rangeClosed(fromSeed, toSeed)
                        .parallel()
                        .boxed()
                        .flatMap(seed -> measure(scenario, way, seed).stream())
                        .sorted()
                        .toList();
                out.printf(
                        "%-32s %-14s %8d %8d %8d%n",
                        scenario.name(), way, percentile(times, 50), percentile(times, 99), percentile(times, 100));
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

    private static List<Long> measure(Scenario scenario, RenewalMode way, long seed) {
        World world = new World(seed, way);
        world.start(2, 1);
        Callers callers = new Callers(world, new SplittableRandom(seed));
        callers.start(KEY_MILLIS);
        new Injector(world).inject(scenario.faults(target(seed)));
        world.agenda().runUntilMillis(WARM_MILLIS);
        callers.byKey().values().forEach(key -> key.reset(WARM_MILLIS));
        long endMillis = (scenario.hasOutage() ? WARM_MILLIS + OUTAGE_MILLIS : LOSS_MILLIS) + AFTER_MILLIS;
        world.agenda().runUntilMillis(endMillis);
        return callers.byKey().values().stream()
                .map(key -> key.worstMillis(endMillis))
                .toList();
    }

    /** A server of an exclusive service: the pooled ones lie between the others in the order of ids. */
    private static int target(long seed) {
        int perService = Site.DATA_CENTRES.size();
        int index = (int) (seed % perService);
        return seed % 2 == 0 ? index : 2 * perService + index;
    }

    private record Scenario(String name, boolean hasOutage, FaultKind loss) {

        List<Fault> faults(int target) {
            List<Fault> faults = new ArrayList<>();
            if (hasOutage) {
                faults.add(new Fault(FaultKind.STORE_LONG_OUTAGE, WARM_MILLIS, OUTAGE_MILLIS, target));
            }
            if (loss != null) {
                boolean isRouter = loss == FaultKind.KILL_DISPATCHER || loss == FaultKind.KILL_CONTROLLER;
                faults.add(new Fault(loss, LOSS_MILLIS, isRouter ? REPLACED_MILLIS : GONE_MILLIS, target));
            }
            return faults;
        }
    }
}
