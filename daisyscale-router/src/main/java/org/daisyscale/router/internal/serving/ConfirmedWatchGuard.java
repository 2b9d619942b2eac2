package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.daisyscale.router.internal.log.EventLog;

/**
 * Guards a watch of items whose changes must be known within 2 s. A watch whose response is lost neither ends nor
 * reports anything, so silence does not prove that nothing changed. While the controller confirms how far it has read
 * the store, a watch may wait long and is given up when the controller has read further. Without confirmations, and on
 * the controller itself, watches are short. A view that lacks something ages from the oldest report of it: neither
 * newer reports nor changes that are applied in part make it younger. Thread-safe.
 */
final class ConfirmedWatchGuard implements WatchGuard {
    /** Wait of a watch without confirmations, in milliseconds. */
    static final long UNCONFIRMED_WAIT_MILLIS = 900;
    /**
     * Wait of a watch on the controller, in milliseconds: two waits, with the time in which changes are batched, fit
     * into the confirmation timeout of the other routers.
     */
    static final long CONTROLLER_WAIT_MILLIS = 400;
    /** How long a watch may stay unconfirmed, in milliseconds: with two reads after it, the total is below 2 s. */
    static final long CONFIRMATION_TIMEOUT_MILLIS = 1_400;
    /** Wait of a confirmed watch, in milliseconds; the store allows 30 s. */
    static final long CONFIRMED_WAIT_MILLIS = 20_000;
    /**
     * How far a watch may lag behind the one of the controller, in milliseconds: more than the latency between two data
     * centres.
     */
    static final long MAX_LAG_MILLIS = 250;

    /**
     * Age above which a view is stale, in milliseconds: the platform requires changes to be in force within this time.
     */
    private static final long MAX_VIEW_AGE_MILLIS = 2_000;

    /** Maximum number of reports that are kept; of more, the oldest ones count, which decide how old the view is. */
    private static final int MAX_MISSED_REPORTS = 64;

    private final String prefix;
    private final Consumer<StoreProgress> publisher;
    private final BooleanSupplier isController;
    private final LongConsumer onCurrent;
    private final LongSupplier clockNanos;
    /** What the controller reported and this router has not reached, oldest first. */
    private final Deque<Report> missedReports = new ArrayDeque<>();

    private long reachedRevision = -1;
    private long confirmedNanos;
    private boolean wasEverConfirmed;
    private long lastCurrentNanos;
    private boolean isStale;

    /**
     * Creates the guard for the watch of {@code prefix}. {@code publisher} receives the progress of this router's own
     * watch; {@code onCurrent} receives the time by the monotonic clock whenever the view is known to be complete.
     */
    ConfirmedWatchGuard(
            String prefix,
            Consumer<StoreProgress> publisher,
            BooleanSupplier isController,
            LongConsumer onCurrent,
            LongSupplier clockNanos) {
        this.prefix = prefix;
        this.publisher = publisher;
        this.isController = isController;
        this.onCurrent = onCurrent;
        this.clockNanos = clockNanos;
        this.lastCurrentNanos = clockNanos.getAsLong();
    }

    @Override
    public synchronized long ageMillis() {
        return millisSince(lastCurrentNanos);
    }

    @Override
    public synchronized void logStaleView() {
        long ageMillis = ageMillis();
        if (!isStale && ageMillis > MAX_VIEW_AGE_MILLIS) {
            isStale = true;
            EventLog.warn(
                    "view-old", "prefix=%s revision=%d ageMillis=%d".formatted(prefix, reachedRevision, ageMillis));
        }
    }

    private void markCurrent() {
        if (isStale) {
            isStale = false;
            EventLog.info(
                    "view-current",
                    "prefix=%s revision=%d afterMillis=%d".formatted(prefix, reachedRevision, ageMillis()));
        }
        lastCurrentNanos = clockNanos.getAsLong();
        onCurrent.accept(lastCurrentNanos);
    }

    /** Records that the controller has just read the store up to {@code progress}. */
    synchronized void confirm(StoreProgress progress) {
        if (!progress.prefix().equals(prefix)) {
            return;
        }
        wasEverConfirmed = true;
        confirmedNanos = clockNanos.getAsLong();
        if (progress.revision() > reachedRevision) {
            recordMissed(new Report(progress.revision(), confirmedNanos));
        } else if (missedReports.isEmpty()) {
            markCurrent();
        }
    }

    private void recordMissed(Report report) {
        boolean isNewer = missedReports.isEmpty()
                || report.revision() > missedReports.getLast().revision();
        if (isNewer) {
            if (missedReports.size() == MAX_MISSED_REPORTS) {
                missedReports.removeLast();
            }
            missedReports.addLast(report);
        }
    }

    @Override
    public Duration nextWait() {
        if (isController.getAsBoolean()) {
            return Duration.ofMillis(CONTROLLER_WAIT_MILLIS);
        }
        return Duration.ofMillis(isConfirmed() ? CONFIRMED_WAIT_MILLIS : UNCONFIRMED_WAIT_MILLIS);
    }

    @Override
    public synchronized boolean isConfirmed() {
        return wasEverConfirmed && millisSince(confirmedNanos) < CONFIRMATION_TIMEOUT_MILLIS;
    }

    private long millisSince(long nanos) {
        return (clockNanos.getAsLong() - nanos) / 1_000_000L;
    }

    @Override
    public synchronized boolean isOverdue(long revision, long startNanos) {
        boolean hadTime = millisSince(startNanos) >= MAX_LAG_MILLIS;
        return (hadTime && isBehind(revision))
                || (!isConfirmed() && millisSince(startNanos) >= CONFIRMATION_TIMEOUT_MILLIS);
    }

    @Override
    public synchronized boolean isBehind(long revision) {
        return missedReports.stream()
                .filter(report -> report.revision() > revision)
                .findFirst()
                .filter(oldest -> millisSince(oldest.nanos()) >= MAX_LAG_MILLIS)
                .isPresent();
    }

    @Override
    public void recordRevision(long revision) {
        recordReached(revision);
        publisher.accept(new StoreProgress(prefix, revision));
    }

    /** Records that this router has reached {@code revision}, which may be less than the controller reported. */
    private synchronized void recordReached(long revision) {
        reachedRevision = revision;
        while (!missedReports.isEmpty() && missedReports.getFirst().revision() <= revision) {
            lastCurrentNanos = missedReports.removeFirst().nanos();
        }
        if (missedReports.isEmpty()) {
            markCurrent();
        }
    }

    /**
     * A report of the controller that it has read the store up to {@code revision}. Immutable.
     *
     * @param revision the store's revision
     * @param nanos when the report arrived, by the monotonic clock
     */
    private record Report(long revision, long nanos) {}
}
