package org.daisyscale.core.internal.serving;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.LoadReport;

/**
 * What this router knows of one incarnation of a server: its own attempts, what the server reported and how fast and
 * how well it answers. Owned by the thread that owns the core.
 */
final class ServerView {
    /** How soon a report of other routers' requests loses its meaning, in milliseconds: queues last about so long. */
    private static final double REPORT_LIFE_MILLIS = 1_000;
    /** The weight of one report in the mean of the others' requests: bursts begin within a second. */
    private static final double REPORT_WEIGHT = 0.3;
    /** The weight of one sample in the running means: about the last ten count. */
    private static final double SAMPLE_WEIGHT = 0.1;
    /** The service time before the first answer, in milliseconds: the order of the services' mean work. */
    private static final double FIRST_SERVICE_MILLIS = 150;
    /** How long a server whose port refused a connection is left alone, in milliseconds. */
    private static final long REFUSED_PAUSE_MILLIS = 400;
    /** An attempt older than this counts as its server's silence, in milliseconds: several times a usual answer. */
    private static final long SILENCE_MILLIS = 700;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<Long, Long> sentNanosByRequest = new LinkedHashMap<>();
    private final ColdGate coldGate;
    private BackendServer server;
    private double othersMean;
    private double othersReported;
    private long reportedNanos;
    private boolean hasReport;
    private double serviceMillis = FIRST_SERVICE_MILLIS;
    private double failureShare;
    private int answerCount;
    private double reportMillis;
    private int reportCount;
    private boolean isPaused;
    private long pausedUntilNanos;
    private boolean isLeaving;
    private long leavingSinceNanos;

    ServerView(BackendServer server, ColdGate coldGate, long nowNanos) {
        this.server = server;
        this.coldGate = coldGate;
        update(server, nowNanos);
    }

    void update(BackendServer newer, long nowNanos) {
        server = newer;
        if (newer.coldLeftMillis() > 0) {
            coldGate.coldUntil(nowNanos + newer.coldLeftMillis() * 1_000_000L);
        }
        if (newer.isDraining()) {
            leave(nowNanos);
        } else {
            isLeaving = false;
        }
    }

    void leave(long nowNanos) {
        if (!isLeaving) {
            isLeaving = true;
            leavingSinceNanos = nowNanos;
        }
    }

    BackendServer server() {
        return server;
    }

    ColdGate coldGate() {
        return coldGate;
    }

    boolean isLeaving() {
        return isLeaving;
    }

    /** Whether the server has been leaving for {@code millis} or longer. */
    boolean isLeavingFor(long millis, long nowNanos) {
        return isLeaving && nowNanos - leavingSinceNanos >= millis * 1_000_000L;
    }

    int ownCount() {
        return sentNanosByRequest.size();
    }

    void noteSent(long requestId, long nowNanos) {
        sentNanosByRequest.put(requestId, nowNanos);
        coldGate.noteSent(nowNanos);
    }

    /** Forgets an attempt that was broken off. */
    void noteCancelled(long requestId) {
        sentNanosByRequest.remove(requestId);
    }

    void noteEnded(long requestId, AttemptOutcome outcome, LoadReport load, long nowNanos) {
        Long sentNanos = sentNanosByRequest.remove(requestId);
        if (load != null) {
            noteLoad(load, nowNanos);
        }
        if (outcome == AttemptOutcome.ANSWERED && sentNanos != null) {
            noteServiceTime((nowNanos - sentNanos) / NANOS_PER_MILLI, load);
        }
        noteHealth(outcome, nowNanos);
    }

    private void noteLoad(LoadReport load, long nowNanos) {
        othersReported = Math.max(0, load.totalCount() - ownCount());
        othersMean += REPORT_WEIGHT * (othersReported - othersMean);
        reportedNanos = nowNanos;
        hasReport = true;
    }

    private void noteServiceTime(double tookMillis, LoadReport load) {
        int waiting = load == null ? 0 : load.waitingCount();
        double turns = 1 + (double) waiting / Math.max(1, server.slots());
        double sampleMillis = tookMillis / turns;
        answerCount++;
        serviceMillis += Math.max(SAMPLE_WEIGHT, 1.0 / (answerCount + 1)) * (sampleMillis - serviceMillis);
        reportMillis += sampleMillis;
        reportCount++;
    }

    private void noteHealth(AttemptOutcome outcome, long nowNanos) {
        if (outcome == AttemptOutcome.REFUSED_NOT_OWNER) {
            return;
        }
        double failure = outcome == AttemptOutcome.ANSWERED ? 0 : 1;
        failureShare += SAMPLE_WEIGHT * (failure - failureShare);
        if (!outcome.reachedServer()) {
            isPaused = true;
            pausedUntilNanos = nowNanos + REFUSED_PAUSE_MILLIS * 1_000_000L;
        } else if (!outcome.mayHaveRun() || outcome == AttemptOutcome.ANSWERED) {
            isPaused = false;
        }
    }

    /** Whether the server could not be reached a moment ago. */
    boolean isPaused(long nowNanos) {
        isPaused = isPaused && nowNanos - pausedUntilNanos < 0;
        return isPaused;
    }

    /** Whether the server has left an attempt unanswered for unusually long. */
    boolean isSilent(long nowNanos) {
        return oldestAgeMillis(nowNanos) > SILENCE_MILLIS + 2 * serviceMillis;
    }

    private double oldestAgeMillis(long nowNanos) {
        return sentNanosByRequest.values().stream()
                        .findFirst()
                        .map(sent -> nowNanos - sent)
                        .orElse(0L)
                / NANOS_PER_MILLI;
    }

    /** The requests at the server now, of all routers, as far as this one can tell. */
    double busyCount(long nowNanos) {
        return ownCount() + othersCount(nowNanos);
    }

    private double othersCount(long nowNanos) {
        if (!hasReport) {
            return 0;
        }
        double trust = Math.exp(-(nowNanos - reportedNanos) / NANOS_PER_MILLI / REPORT_LIFE_MILLIS);
        return othersReported * trust + othersMean * (1 - trust);
    }

    /** How long one more request would wait for a slot, in milliseconds. */
    double waitMillis(long nowNanos) {
        double ahead = busyCount(nowNanos) + 1 - server.slots();
        return Math.max(0, ahead) / server.slots() * serviceMillis;
    }

    /** The mean time of an answer without waiting since the last call, in milliseconds; empty without answers. */
    OptionalDouble takeServiceMillis() {
        if (reportCount == 0) {
            return OptionalDouble.empty();
        }
        double mean = reportMillis / reportCount;
        reportMillis = 0;
        reportCount = 0;
        return OptionalDouble.of(mean);
    }

    /** The time of an answer without waiting, in milliseconds. */
    double serviceMillis() {
        return serviceMillis;
    }

    /** The share of the last answers that were failures, 0 to 1. */
    double failureShare() {
        return failureShare;
    }
}
