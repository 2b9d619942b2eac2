package org.daisyscale.core.internal.dispatch;

import java.util.List;

/**
 * Estimates whether a request can be answered before its deadline. The queueing delay is the number of requests ahead
 * of it, with callers served round-robin, times the mean service time, divided by the number of slots. Not thread-safe;
 * confined to the core thread.
 */
final class Admission {
    private final ServiceTimes times;

    Admission(ServiceTimes times) {
        this.times = times;
    }

    /** Returns whether {@code request} can be answered before its deadline when it joins {@code queue}. */
    boolean isInTime(WaitingRequest request, FairQueue queue, List<ServerTracker> servers, long nowNanos) {
        int slotCount = servers.stream().mapToInt(ServerTracker::limit).sum();
        int countBefore = queue.countBefore(request.callerId());
        if (countBefore <= slotCount) {
            return true;
        }
        double waitMicros = countBefore * times.meanMicros() / Math.max(1, slotCount);
        return waitMicros + times.meanMicros(request.permitRequest().kind()) <= request.remainingMicros(nowNanos);
    }

    /** Returns whether {@code request} can be answered before its deadline when it is sent now. */
    boolean isWorthSending(WaitingRequest request, long nowNanos) {
        return times.meanMicros(request.permitRequest().kind()) <= request.remainingMicros(nowNanos);
    }
}
