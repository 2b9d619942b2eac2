package org.daisyscale.core.proof;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;

/**
 * Main class of bin/prove. Runs seeds and prints the injected faults, the outcomes of requests and the broken promises.
 * Stateless.
 */
public final class Prove {
    private static final int MAX_SHOWN_RUNS = 5;

    private Prove() {}

    /**
     * Runs {@code promise fromSeed toSeed [kinds]}, where promise 0 stands for all promises and kinds are
     * comma-separated names of {@link FaultKind}, or {@code unavailable fromSeed toSeed}. Exits with status 1 if a run
     * broke the promise.
     */
    public static void main(String[] args) {
        try (PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8)) {
            if (args[0].equals("unavailable")) {
                Unavailability.print(Long.parseLong(args[1]), Long.parseLong(args[2]), out);
                return;
            }
            LongStream seeds = LongStream.rangeClosed(Long.parseLong(args[1]), Long.parseLong(args[2]));
            boolean isKept = prove(Integer.parseInt(args[0]), seeds, faultKinds(args), out);
            out.flush();
            if (!isKept) {
                System.exit(1);
            }
        }
    }

    private static List<FaultKind> faultKinds(String[] args) {
        return args.length < 4 || args[3].isEmpty()
                ? List.of(FaultKind.values())
                : Arrays.stream(args[3].split(",", -1)).map(FaultKind::valueOf).toList();
    }

    private static boolean prove(int promise, LongStream seeds, List<FaultKind> kinds, PrintWriter out) {
        List<ProofRun> runs = seeds.parallel()
                .mapToObj(seed -> ProofRun.of(seed, Fault.schedule(seed, kinds)))
                .toList();
        Map<FaultKind, Integer> faults = new TreeMap<>();
        Map<String, Integer> outcomes = new TreeMap<>();
        for (FaultKind kind : FaultKind.values()) {
            faults.put(kind, 0);
        }
        runs.forEach(
                run -> run.observer().faultCounts().forEach((kind, count) -> faults.merge(kind, count, Integer::sum)));
        runs.forEach(run -> run.observer()
                .outcomeCounts()
                .forEach((outcome, count) -> outcomes.merge(outcome, count, Integer::sum)));
        List<ProofRun> failedRuns =
                runs.stream().filter(run -> run.breaks(promise)).toList();
        out.printf("promise %s, %d seeds%n", promise == 0 ? "all" : promise, runs.size());
        faults.forEach((kind, count) -> out.printf("  %-26s %s%n", kind, count == 0 ? "none injected" : count));
        out.printf(
                "orders %d%n",
                runs.stream().mapToLong(run -> run.observer().operationCount()).sum());
        outcomes.forEach((outcome, count) -> out.printf("  %-26s %d%n", outcome, count));
        out.printf("seeds with violations: %d%n", failedRuns.size());
        seedsByPromise(runs)
                .forEach((number, failedSeeds) -> out.printf("  promise %d broke with %s%n", number, failedSeeds));
        failedRuns.stream().limit(MAX_SHOWN_RUNS).forEach(run -> printShortestSchedule(run, promise, out));
        return failedRuns.isEmpty();
    }

    private static Map<Integer, List<Long>> seedsByPromise(List<ProofRun> runs) {
        Map<Integer, List<Long>> seeds = new TreeMap<>();
        for (ProofRun run : runs) {
            run.violations(0)
                    .map(Observer.Violation::promise)
                    .distinct()
                    .forEach(promise -> seeds.computeIfAbsent(promise, number -> new ArrayList<>())
                            .add(run.seed()));
        }
        return seeds;
    }

    private static void printShortestSchedule(ProofRun run, int promise, PrintWriter out) {
        ProofRun shortest = run.shrunk(promise);
        out.printf(
                "seed %d, shortest failing schedule of %d faults:%n",
                run.seed(), shortest.faults().size());
        shortest.faults().forEach(fault -> out.printf("    %s%n", fault));
        shortest.violations(promise).limit(3).forEach(violation -> out.printf("  > %s%n", violation));
    }
}
