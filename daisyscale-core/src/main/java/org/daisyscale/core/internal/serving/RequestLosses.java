package org.daisyscale.core.internal.serving;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.LossRecord.LostServer;

/**
 * The losses of one request: the servers that were lost with it, and the pauses that follow.
 *
 * <p>Invariants: a server's incarnation counts once. Losses shortly after one another are no further tries, since they
 * are of requests that were sent before the pause.
 *
 * <p>Not thread-safe; confined to the core thread.
 */
final class RequestLosses {
    /** Servers lost with a request from which on it is paused. */
    static final int PAUSING_LOSSES = 3;
    /** How long a request is remembered after its last loss, in milliseconds. */
    static final long RETENTION_MILLIS = 600_000;
    /** First pause, in milliseconds; about the time in which a crashed server is back. */
    private static final long FIRST_PAUSE_MILLIS = 10_000;
    /** Tries after which a request stays paused until it is forgotten. */
    private static final int MAX_TRIES = 2;
    /** How long others wait for the outcome of a try, in milliseconds. */
    private static final long TRY_MILLIS = 2_000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Set<LostServer> servers = new LinkedHashSet<>();
    private int tries;
    private long lastNanos;
    private long tryUntilNanos;
    private boolean isStored;

    RequestLosses(long nowNanos) {
        this.lastNanos = nowNanos;
        this.tryUntilNanos = nowNanos;
    }

    void add(LostServer server, long nowNanos) {
        if (isPausing()) {
            // Routers learn of the last loss at slightly different times, so that a try may seem to come too early.
            boolean isTry = nowNanos - lastNanos >= pauseMillis() * NANOS_PER_MILLI / 2;
            tries += isTry ? 1 : 0;
        } else {
            servers.add(server);
        }
        lastNanos = nowNanos;
        tryUntilNanos = nowNanos;
    }

    /** Adds what the store has about the request. */
    void merge(LossRecord stored, long nowNanos) {
        long storedNanos = nowNanos - stored.ageMillis() * NANOS_PER_MILLI;
        boolean isNewer = servers.isEmpty() || storedNanos - lastNanos > 0;
        lastNanos = isNewer ? storedNanos : lastNanos;
        stored.servers().stream().limit(PAUSING_LOSSES).forEach(servers::add);
        tries = Math.max(tries, stored.tries());
        isStored = true;
    }

    LossRecord toRecord(long fingerprint, long nowNanos) {
        return new LossRecord(fingerprint, List.copyOf(servers), tries, (nowNanos - lastNanos) / NANOS_PER_MILLI);
    }

    int count() {
        return servers.size();
    }

    private boolean isPausing() {
        return servers.size() >= PAUSING_LOSSES;
    }

    private long pauseMillis() {
        return tries >= MAX_TRIES ? RETENTION_MILLIS : FIRST_PAUSE_MILLIS << tries;
    }

    /**
     * Returns how much longer the request is rejected, in milliseconds; 0 when it may be sent.
     *
     * @param delayMillis how long this router leaves the next try to others, in milliseconds
     */
    long pauseLeftMillis(long delayMillis, long nowNanos) {
        if (!isPausing()) {
            return 0;
        }
        long pauseLeft = pauseMillis() + delayMillis - (nowNanos - lastNanos) / NANOS_PER_MILLI;
        long tryLeft = (tryUntilNanos - nowNanos) / NANOS_PER_MILLI;
        return Math.max(0, Math.max(pauseLeft, tryLeft));
    }

    /** Records that the request is sent after a pause; further arrivals wait for the outcome. */
    void startTry(long nowNanos) {
        if (isPausing()) {
            tryUntilNanos = nowNanos + TRY_MILLIS * NANOS_PER_MILLI;
        }
    }

    boolean isOver(long nowNanos) {
        return nowNanos - lastNanos >= RETENTION_MILLIS * NANOS_PER_MILLI;
    }

    boolean isStored() {
        return isStored;
    }

    void markStored() {
        isStored = true;
    }
}
