package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.daisyscale.core.peer.PeerMessage.StoreProgress;
import org.daisyscale.router.internal.log.EventLog;

/**
 * For items that must be followed within 2 s. A watch whose answer is lost hears nothing and doesn't end, so its
 * silence proves nothing. While the controller tells how far it has read the store, the watch may be long and is given
 * up when the controller has seen more. Without such news, as at the controller itself, watches are short. Safe for use
 * by several threads.
 */
final class FollowedWatch implements WatchGuard {
    /** The wait of a watch that nobody confirms, in milliseconds. */
    static final long SHORT_WAIT_MILLIS = 900;
    /** The wait of the controller's watches, in milliseconds: two of them fit into the time it may be silent. */
    static final long CONTROLLER_WAIT_MILLIS = 400;
    /** How long a watch may go unconfirmed, in milliseconds: with two reads after it, below 2 s. */
    static final long SILENCE_MILLIS = 1_200;
    /** The wait of a watch that is confirmed, in milliseconds; the store allows 30 s. */
    static final long LONG_WAIT_MILLIS = 20_000;
    /** How far a watch may lie behind the controller's, in milliseconds: over the way between two data centres. */
    static final long LAG_MILLIS = 250;

    /** A view that is older may miss what had to be in force by now, in milliseconds; by the pages. */
    private static final long OLD_MILLIS = 2_000;

    private final String prefix;
    private final Consumer<StoreProgress> publisher;
    private final BooleanSupplier isController;
    private final Runnable onCurrent;
    private final LongSupplier clockNanos;
    private long reachedRevision = -1;
    private long expectedRevision;
    private long expectedSinceNanos;
    private long confirmedNanos;
    private boolean isEverConfirmed;
    private long currentNanos;
    private boolean isOld;

    /**
     * Creates the guard of {@code prefix}; {@code publisher} gets what this router's own watch reached, and
     * {@code onCurrent} runs whenever nothing was missing from what it heard.
     */
    FollowedWatch(
            String prefix,
            Consumer<StoreProgress> publisher,
            BooleanSupplier isController,
            Runnable onCurrent,
            LongSupplier clockNanos) {
        this.prefix = prefix;
        this.publisher = publisher;
        this.isController = isController;
        this.onCurrent = onCurrent;
        this.clockNanos = clockNanos;
        this.currentNanos = clockNanos.getAsLong();
    }

    /** How long ago it was last known that nothing is missing, in milliseconds. */
    synchronized long ageMillis() {
        return millisSince(currentNanos);
    }

    @Override
    public synchronized void noteAge() {
        long ageMillis = ageMillis();
        if (!isOld && ageMillis > OLD_MILLIS) {
            isOld = true;
            EventLog.warn(
                    "view-old", "prefix=%s revision=%d ageMillis=%d".formatted(prefix, reachedRevision, ageMillis));
        }
    }

    private synchronized void current() {
        if (isOld) {
            isOld = false;
            EventLog.info(
                    "view-current",
                    "prefix=%s revision=%d afterMillis=%d".formatted(prefix, reachedRevision, ageMillis()));
        }
        currentNanos = clockNanos.getAsLong();
        onCurrent.run();
    }

    /** The controller has just read the store. */
    synchronized void confirm(StoreProgress progress) {
        if (!progress.prefix().equals(prefix)) {
            return;
        }
        isEverConfirmed = true;
        confirmedNanos = clockNanos.getAsLong();
        if (progress.revision() > expectedRevision) {
            expectedRevision = progress.revision();
            expectedSinceNanos = confirmedNanos;
        }
        if (progress.revision() <= reachedRevision) {
            current();
        }
    }

    @Override
    public Duration nextWait() {
        if (isController.getAsBoolean()) {
            return Duration.ofMillis(CONTROLLER_WAIT_MILLIS);
        }
        return Duration.ofMillis(isConfirmed() ? LONG_WAIT_MILLIS : SHORT_WAIT_MILLIS);
    }

    /** Whether the controller told lately how far it has read. */
    synchronized boolean isConfirmed() {
        return isEverConfirmed && millisSince(confirmedNanos) < SILENCE_MILLIS;
    }

    private long millisSince(long nanos) {
        return (clockNanos.getAsLong() - nanos) / 1_000_000L;
    }

    @Override
    public synchronized boolean isOverdue(long revision, long startNanos) {
        boolean hadTime = millisSince(startNanos) >= LAG_MILLIS;
        return (hadTime && isBehind(revision)) || (!isConfirmed() && millisSince(startNanos) >= SILENCE_MILLIS);
    }

    /** Whether the controller has read further than {@code revision}, and not just now. */
    synchronized boolean isBehind(long revision) {
        return expectedRevision > revision && millisSince(expectedSinceNanos) >= LAG_MILLIS;
    }

    @Override
    public void reached(long revision) {
        synchronized (this) {
            reachedRevision = revision;
        }
        current();
        publisher.accept(new StoreProgress(prefix, revision));
    }
}
