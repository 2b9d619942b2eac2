package org.daisyscale.testkit.backend;

import java.util.EnumMap;
import java.util.Map;

/** Counts what a server sees. Not safe for use by several threads. */
final class CounterBook {
    private final Map<Verdict.Refusal, Long> refusals = new EnumMap<>(Verdict.Refusal.class);
    private long orders;
    private long coldOverloads;
    private long brokenOrders;
    private int peakRunning;

    void countOrder() {
        orders++;
    }

    void countRefusal(Verdict.Refusal refusal) {
        refusals.merge(refusal, 1L, Long::sum);
    }

    void countColdOverload() {
        coldOverloads++;
    }

    void countBroken() {
        brokenOrders++;
    }

    void noteRunning(int running) {
        peakRunning = Math.max(peakRunning, running);
    }

    ServerCounters snapshot() {
        return new ServerCounters(
                orders,
                refusalCount(Verdict.Refusal.NOT_OWNER),
                refusalCount(Verdict.Refusal.SHED),
                refusalCount(Verdict.Refusal.EXPIRED),
                refusalCount(Verdict.Refusal.DRAINING),
                coldOverloads,
                brokenOrders,
                peakRunning);
    }

    private long refusalCount(Verdict.Refusal refusal) {
        return refusals.getOrDefault(refusal, 0L);
    }
}
