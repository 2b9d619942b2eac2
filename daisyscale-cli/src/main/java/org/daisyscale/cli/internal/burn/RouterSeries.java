package org.daisyscale.cli.internal.burn;

import java.util.List;

/**
 * One router's request counters of one kind over time. Immutable.
 *
 * @param router the router's address
 * @param isCounting whether at least one of the router's samples includes the kind
 * @param good the good requests
 * @param bad the bad requests
 */
record RouterSeries(String router, boolean isCounting, CounterSeries good, CounterSeries bad) {

    /** Returns the series of {@code kind} over one router's samples, which are oldest first and must not be empty. */
    static RouterSeries of(List<RouterSample> samples, KindCount kind) {
        return new RouterSeries(
                samples.get(0).router(),
                samples.stream().anyMatch(sample -> sample.counts(kind)),
                new CounterSeries(samples, sample -> sample.goodOf(kind)),
                new CounterSeries(samples, sample -> sample.badOf(kind)));
    }
}
