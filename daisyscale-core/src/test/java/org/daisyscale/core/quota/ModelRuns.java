package org.daisyscale.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The runs of one organisation over all routers, and the allowances that were in force at some router. */
final class ModelRuns {
    /** The part of the users' bound for which credits may be granted: the rest of the slack is the local reserve. */
    private static final double MAX_OVERSHOOT = 0.1;

    private static final double MAX_SLACK_REQUESTS = 10;

    private final long windowNanos;
    private final Deque<Long> ranNanos = new ArrayDeque<>();
    /** The end of each allowance's validity, by its size. */
    private final NavigableMap<Double, Long> untilNanosByLimit = new TreeMap<>();

    private long total;
    private double worstExcess = Double.NEGATIVE_INFINITY;
    private double worstExcessOverBound = Double.NEGATIVE_INFINITY;

    ModelRuns(long windowNanos) {
        this.windowNanos = windowNanos;
    }

    /** Records that {@code limit} requests per window are allowed at some router until {@code untilNanos}. */
    void allow(double limit, long untilNanos) {
        untilNanosByLimit.put(limit, untilNanos);
    }

    void run(long nowNanos) {
        total++;
        ranNanos.addLast(nowNanos);
        while (nowNanos - ranNanos.peekFirst() >= windowNanos) {
            ranNanos.removeFirst();
        }
        untilNanosByLimit.values().removeIf(untilNanos -> nowNanos - windowNanos >= untilNanos);
        double limit = untilNanosByLimit.lastKey();
        double bound = limit * (1 + MAX_OVERSHOOT) + MAX_SLACK_REQUESTS;
        worstExcess = Math.max(worstExcess, ranNanos.size() - limit);
        worstExcessOverBound = Math.max(worstExcessOverBound, ranNanos.size() - bound);
    }

    long total() {
        return total;
    }

    /** Returns by how many requests the worst window exceeded the allowance; negative if none did. */
    double worstExcess() {
        return worstExcess;
    }

    /** Returns by how many requests the worst window exceeded the bound; negative if none did. */
    double worstExcessOverBound() {
        return worstExcessOverBound;
    }
}
