package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;

/**
 * Chooses when callers that are refused for lack of room come back. Answers bursts, whose refused callers would return
 * together and fill the queues again: they return one after the other, in the order of their refusal, from the time at
 * which the queue is short enough up to the time that they wait at most, and then from the start again. Not
 * thread-safe; confined to the core thread.
 */
final class ReturnTimes {
    /** Fraction of the time that a caller has left up to which it waits before it returns; given by the platform. */
    private static final double HONOURED_FRACTION = 1.0 / 3;
    /** Minimum advice, in milliseconds; 100 ms made callers late that a slot of another server could serve. */
    private static final double MIN_MILLIS = 50;

    private static final double NANOS_PER_MILLI = 1e6;

    private final FleetView fleet;
    private final Map<String, Long> lastNanosByService = new HashMap<>();

    ReturnTimes(FleetView fleet) {
        this.fleet = fleet;
    }

    /**
     * Returns after which time the caller of {@code request} should return, in milliseconds.
     *
     * @param excessMillis by how much the wait at {@code view}'s server exceeds what the request may wait
     */
    long adviceMillis(OpenRequest request, ServerView view, double excessMillis, long nowNanos) {
        double honouredMillis = honouredMillis(request, nowNanos);
        double firstMillis = Math.min(Math.max(MIN_MILLIS, excessMillis), honouredMillis);
        Long lastNanos = lastNanosByService.get(request.service());
        double nextMillis = lastNanos == null
                ? firstMillis
                : (lastNanos - nowNanos) / NANOS_PER_MILLI + gapMillis(request, view, nowNanos);
        double adviceMillis = nextMillis < firstMillis || nextMillis > honouredMillis ? firstMillis : nextMillis;
        lastNanosByService.put(request.service(), nowNanos + (long) (adviceMillis * NANOS_PER_MILLI));
        return (long) adviceMillis;
    }

    /** Returns the time in which the servers of the service end as many requests as there are routers. */
    private double gapMillis(OpenRequest request, ServerView view, long nowNanos) {
        int serverCount =
                Math.max(1, fleet.servers().ofService(request.service()).size());
        return view.serviceMillis(nowNanos)
                * fleet.routerCount(nowNanos)
                / (serverCount * view.server().slots());
    }

    private static double honouredMillis(OpenRequest request, long nowNanos) {
        long statedMillis = request.head().timeLeftMillis();
        double leftMillis =
                statedMillis > 0 ? statedMillis - request.ageMillis(nowNanos) : request.timeLeftMillis(nowNanos);
        return Math.max(1, leftMillis * HONOURED_FRACTION);
    }
}
