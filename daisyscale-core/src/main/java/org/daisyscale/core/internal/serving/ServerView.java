package org.daisyscale.core.internal.serving;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.LoadReport;

/**
 * Tracks one incarnation of a server: this router's attempts in flight, the load that the server reported, its service
 * time and its failure ratio. Not thread-safe; confined to the core thread.
 */
final class ServerView {
    /** Time constant of the decay of a load report, in milliseconds; about as long as a server's queue lasts. */
    private static final double REPORT_DECAY_MILLIS = 1_000;
    /** Weight of one report in the moving average of other routers' requests; bursts begin within a second. */
    private static final double REPORT_WEIGHT = 0.3;
    /** Weight of one sample in the moving averages; about the last ten samples count. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** Assumed service time before the first answer, in milliseconds; the order of magnitude of the services' means. */
    private static final double INITIAL_SERVICE_MILLIS = 150;
    /** How long a server gets no requests after a connection to it failed, in milliseconds. */
    private static final long UNREACHABLE_PAUSE_MILLIS = 400;
    /** Minimum age of an attempt whose server counts as unresponsive, in milliseconds; several usual latencies. */
    private static final long UNRESPONSIVE_MILLIS = 700;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final Map<Long, Long> sentNanosByRequest = new LinkedHashMap<>();
    private final ColdStartLimiter coldStartLimiter;
    private final ServiceLevel serviceLevel;
    private final WorkDuration workDuration = new WorkDuration();
    private BackendServer server;
    private double otherInFlightMean;
    private double otherInFlightReported;
    private long reportedNanos;
    private boolean hasReport;
    private double serviceMillis = INITIAL_SERVICE_MILLIS;
    private double failureRatio;
    private int answerCount;
    private double sampleMillisSum;
    private int sampleCount;
    private boolean isPaused;
    private long pausedUntilNanos;
    private boolean wasChecked;
    private long checkedNanos;
    private boolean isLeaving;
    private EventTime leavingSince = EventTime.UNKNOWN;

    ServerView(BackendServer server, ColdStartLimiter coldStartLimiter, ServiceLevel serviceLevel, long nowNanos) {
        this.server = server;
        this.coldStartLimiter = coldStartLimiter;
        this.serviceLevel = serviceLevel;
        // A server that this router hears of first may have been leaving for as long as it ran.
        update(server, EventTime.UNKNOWN, nowNanos);
    }

    /** Takes over a registration that changed at {@code changedAt}. */
    void update(BackendServer newer, EventTime changedAt, long nowNanos) {
        server = newer;
        if (newer.coldLeftMillis() > 0) {
            coldStartLimiter.markColdUntil(nowNanos + newer.coldLeftMillis() * 1_000_000L);
        }
        if (newer.isDraining()) {
            markLeaving(changedAt);
        } else {
            isLeaving = false;
        }
    }

    private void markLeaving(EventTime since) {
        if (!isLeaving) {
            isLeaving = true;
            leavingSince = since;
        }
    }

    /** Records that an unknown time has passed that the clock did not count. */
    void handleSuspension() {
        leavingSince = EventTime.UNKNOWN;
    }

    BackendServer server() {
        return server;
    }

    ColdStartLimiter coldStartLimiter() {
        return coldStartLimiter;
    }

    boolean isLeaving() {
        return isLeaving;
    }

    /** Returns whether the server may have been leaving for {@code millis} or longer. */
    boolean isLeavingFor(long millis, long nowNanos) {
        return isLeaving && leavingSince.mayBePast(millis, nowNanos);
    }

    /** Starts a health check unless one was started within {@code intervalMillis}; returns whether it did. */
    boolean startCheck(long intervalMillis, long nowNanos) {
        if (wasChecked && nowNanos - checkedNanos < intervalMillis * 1_000_000L) {
            return false;
        }
        wasChecked = true;
        checkedNanos = nowNanos;
        return true;
    }

    int ownInFlightCount() {
        return sentNanosByRequest.size();
    }

    void recordSent(long requestId, long nowNanos) {
        sentNanosByRequest.put(requestId, nowNanos);
        coldStartLimiter.recordSent(nowNanos);
    }

    /** Removes an attempt that was cancelled. */
    void recordCancelled(long requestId) {
        sentNanosByRequest.remove(requestId);
    }

    void recordEnded(long requestId, AttemptOutcome outcome, LoadReport load, long nowNanos) {
        Long sentNanos = sentNanosByRequest.remove(requestId);
        double expectedFactor = workDuration.factor(nowNanos);
        if (load != null) {
            recordLoad(load, nowNanos);
        }
        if (outcome == AttemptOutcome.ANSWERED && sentNanos != null) {
            recordServiceTime((nowNanos - sentNanos) / NANOS_PER_MILLI, load, expectedFactor);
        }
        recordHealth(outcome, nowNanos);
    }

    private void recordLoad(LoadReport load, long nowNanos) {
        otherInFlightReported = Math.max(0, load.totalCount() - ownInFlightCount());
        otherInFlightMean += REPORT_WEIGHT * (otherInFlightReported - otherInFlightMean);
        reportedNanos = nowNanos;
        hasReport = true;
        serviceLevel.record(otherInFlightReported / server.slots() * serviceMillis(nowNanos));
        workDuration.record(load.workDurationFactor(), nowNanos);
    }

    private void recordServiceTime(double elapsedMillis, LoadReport load, double expectedFactor) {
        int waiting = load == null ? 0 : load.waitingCount();
        double rounds = 1 + (double) waiting / Math.max(1, server.slots());
        double sampleMillis = elapsedMillis / rounds;
        double usualMillis = sampleMillis / workFactor(load, expectedFactor);
        answerCount++;
        serviceMillis += Math.max(SAMPLE_WEIGHT, 1.0 / (answerCount + 1)) * (usualMillis - serviceMillis);
        sampleMillisSum += sampleMillis;
        sampleCount++;
    }

    /** Returns the mean of the factors expected before the answer and reported with it: work may outlast a moment. */
    private static double workFactor(LoadReport load, double expectedFactor) {
        return load == null ? expectedFactor : (load.workDurationFactor() + expectedFactor) / 2;
    }

    private void recordHealth(AttemptOutcome outcome, long nowNanos) {
        if (outcome == AttemptOutcome.REFUSED_NOT_OWNER || outcome == AttemptOutcome.EXPIRED) {
            return;
        }
        double failure = outcome == AttemptOutcome.ANSWERED ? 0 : 1;
        failureRatio += SAMPLE_WEIGHT * (failure - failureRatio);
        if (!outcome.reachedServer()) {
            isPaused = true;
            pausedUntilNanos = nowNanos + UNREACHABLE_PAUSE_MILLIS * 1_000_000L;
        } else if (!outcome.mayHaveRun() || outcome == AttemptOutcome.ANSWERED) {
            isPaused = false;
        }
    }

    /** Returns whether the server gets no requests because a recent connection to it failed. */
    boolean isPaused(long nowNanos) {
        isPaused = isPaused && nowNanos - pausedUntilNanos < 0;
        return isPaused;
    }

    /** Returns whether the oldest attempt in flight has been unanswered for unusually long. */
    boolean isUnresponsive(long nowNanos) {
        return oldestAgeMillis(nowNanos) > UNRESPONSIVE_MILLIS + 2 * serviceMillis(nowNanos);
    }

    private double oldestAgeMillis(long nowNanos) {
        return sentNanosByRequest.values().stream()
                        .findFirst()
                        .map(sent -> nowNanos - sent)
                        .orElse(0L)
                / NANOS_PER_MILLI;
    }

    /** Returns the estimated number of requests of all routers that are at the server now. */
    double inFlightEstimate(long nowNanos) {
        return ownInFlightCount() + otherInFlightEstimate(nowNanos);
    }

    /** Returns the estimated rate of requests of all routers to the server, per second. */
    double requestsPerSecond(long nowNanos) {
        double ownRate = coldStartLimiter.sentCount(nowNanos) * NANOS_PER_SECOND / ColdStartLimiter.WINDOW_NANOS;
        double othersRunning = Math.min(server.slots(), otherInFlightMean);
        return ownRate + othersRunning * MILLIS_PER_SECOND / serviceMillis(nowNanos);
    }

    private double otherInFlightEstimate(long nowNanos) {
        if (!hasReport) {
            return 0;
        }
        double reportWeight = Math.exp(-(nowNanos - reportedNanos) / NANOS_PER_MILLI / REPORT_DECAY_MILLIS);
        double usualCount = serviceLevel.isShared()
                ? serviceLevel.millis() * server.slots() / serviceMillis(nowNanos)
                : otherInFlightMean;
        return otherInFlightReported * reportWeight + usualCount * (1 - reportWeight);
    }

    /** Returns the expected wait of one more request for a slot, in milliseconds. */
    double waitMillis(long nowNanos) {
        double queuedCount = inFlightEstimate(nowNanos) + 1 - server.slots();
        return Math.max(0, queuedCount) / server.slots() * serviceMillis(nowNanos);
    }

    /** Returns the mean service time since the last call, without queueing, in milliseconds; empty without answers. */
    OptionalDouble takeMeanServiceMillis() {
        if (sampleCount == 0) {
            return OptionalDouble.empty();
        }
        double mean = sampleMillisSum / sampleCount;
        sampleMillisSum = 0;
        sampleCount = 0;
        return OptionalDouble.of(mean);
    }

    /** Returns the expected service time of a request that starts now, without queueing, in milliseconds. */
    double serviceMillis(long nowNanos) {
        return serviceMillis * workDuration.factor(nowNanos);
    }

    /** Returns whether the server reported a slow moment that may not be over. */
    boolean isSlow(long nowNanos) {
        return workDuration.isSlow(nowNanos);
    }

    /** Returns the moving average of the failure ratio, 0 to 1. */
    double failureRatio() {
        return failureRatio;
    }
}
