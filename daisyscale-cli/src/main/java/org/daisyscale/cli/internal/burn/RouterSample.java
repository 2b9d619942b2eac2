package org.daisyscale.cli.internal.burn;

import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * A sample of one router's counters. Immutable.
 *
 * @param atEpochMillis the time of the sample on the operator's machine, in milliseconds since the epoch
 * @param router the router's address
 * @param kinds the counts of each kind
 * @param invariantsBroken the number of broken invariants since the router's process started, by promise
 */
public record RouterSample(
        long atEpochMillis, String router, List<KindCount> kinds, Map<String, Double> invariantsBroken) {

    public RouterSample {
        kinds = List.copyOf(kinds);
        invariantsBroken = Map.copyOf(invariantsBroken);
    }

    /** Returns whether the sample includes the kind of {@code kind}. */
    boolean counts(KindCount kind) {
        return kinds.stream().anyMatch(other -> other.isSameKindAs(kind));
    }

    /** Returns the good requests of the kind of {@code kind}; zero if the sample lacks it. */
    double goodOf(KindCount kind) {
        return countOf(kind, KindCount::goodCount);
    }

    /** Returns the bad requests of the kind of {@code kind}; zero if the sample lacks it. */
    double badOf(KindCount kind) {
        return countOf(kind, KindCount::badCount);
    }

    private double countOf(KindCount kind, ToDoubleFunction<KindCount> counter) {
        return kinds.stream()
                .filter(other -> other.isSameKindAs(kind))
                .mapToDouble(counter)
                .findFirst()
                .orElse(0);
    }
}
