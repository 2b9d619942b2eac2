package org.daisyscale.testkit.demo;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.daisyscale.testkit.backend.RunRecord;
import org.daisyscale.testkit.load.AttemptEnd;
import org.daisyscale.testkit.load.LoadResult;
import org.daisyscale.testkit.load.LoadStatistics;

/** Holds what callers saw against what the servers recorded. Immutable. */
public final class DemoAudit {
    private static final Set<AttemptEnd> PROVABLY_NOTHING = Set.of(AttemptEnd.NOT_RUN, AttemptEnd.REFUSED_CONNECTION);
    private static final Set<AttemptEnd> TRUTHFUL = Set.of(AttemptEnd.ANSWERED, AttemptEnd.NOT_RUN, AttemptEnd.UNKNOWN);

    private final List<LoadResult> results;
    private final Set<String> onceOnlyKinds;
    private final List<RunRecord> runs;
    private final Map<String, List<RunRecord>> runsById;

    /**
     * An audit of {@code results}, each of which has an id of its own.
     *
     * @param onceOnlyKinds the kinds that are not idempotent
     * @param runs the records of all servers
     */
    public DemoAudit(List<LoadResult> results, Set<String> onceOnlyKinds, List<RunRecord> runs) {
        this.results = List.copyOf(results);
        this.onceOnlyKinds = Set.copyOf(onceOnlyKinds);
        this.runs = List.copyOf(runs);
        this.runsById = runs.stream().collect(Collectors.groupingBy(RunRecord::idempotencyKey));
    }

    /** The verdict. */
    public DemoVerdict verdict() {
        return new DemoVerdict(
                results.size(),
                countEnds(AttemptEnd.ANSWERED),
                countEnds(AttemptEnd.NOT_RUN),
                countEnds(AttemptEnd.UNKNOWN),
                results.stream().filter(this::isWrong).count(),
                results.stream().filter(this::isDoubled).count(),
                results.stream().filter(this::isLost).count(),
                sharedKeyCount());
    }

    private long countEnds(AttemptEnd end) {
        return results.stream().filter(result -> result.end() == end).count();
    }

    private List<RunRecord> runsOf(LoadResult result) {
        return runsById.getOrDefault(result.request().id(), List.of());
    }

    private boolean isWrong(LoadResult result) {
        boolean isAnswerWrong = result.end() == AttemptEnd.ANSWERED && LoadStatistics.isWrong(result);
        boolean isRunWrong = runsOf(result).stream().anyMatch(run -> !matches(run, result));
        return isAnswerWrong || isRunWrong;
    }

    private static boolean matches(RunRecord run, LoadResult result) {
        return run.path().equals(result.request().path())
                && run.bodyBytes() == result.request().body().length;
    }

    private boolean isDoubled(LoadResult result) {
        boolean isOnceOnly = onceOnlyKinds.contains(result.request().kind().name());
        return isOnceOnly && runsOf(result).size() > 1;
    }

    private boolean isLost(LoadResult result) {
        boolean hasRun = !runsOf(result).isEmpty();
        boolean isFalseAnswer = result.end() == AttemptEnd.ANSWERED && !hasRun;
        boolean isFalseRefusal = hasRun && PROVABLY_NOTHING.containsAll(result.ends());
        return !TRUTHFUL.contains(result.end()) || isFalseAnswer || isFalseRefusal;
    }

    private long sharedKeyCount() {
        return runs.stream()
                .filter(run -> run.keyHash() >= 0 && run.endMillis() > 0)
                .collect(Collectors.groupingBy(run -> run.keyHash() + run.path()))
                .values()
                .stream()
                .mapToLong(DemoAudit::overlaps)
                .sum();
    }

    private static long overlaps(List<RunRecord> runsOfKey) {
        List<RunRecord> sorted = runsOfKey.stream()
                .sorted(Comparator.comparingLong(RunRecord::startMillis))
                .toList();
        long count = 0;
        for (int index = 1; index < sorted.size(); index++) {
            RunRecord before = sorted.get(index - 1);
            RunRecord after = sorted.get(index);
            boolean isElsewhere = !before.server().equals(after.server());
            count += isElsewhere && after.startMillis() < before.endMillis() ? 1 : 0;
        }
        return count;
    }
}
