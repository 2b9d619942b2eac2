package org.daisyscale.router.internal.serving;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.router.internal.log.EventLog;

/**
 * Decides whether the control of the keys is valid and, after the store was restored, when this router may claim it.
 *
 * <p>Invariants: after a restore was recorded, no renewal of a lease from before it is reported. The control is claimed
 * in the new era at once only by the router whose lease was valid when it noticed the restore; any other router waits
 * until a controller that is cut off from the store has stopped by its own clock. A control whose lease expired counts
 * as unbroken only if the store itself rejected all calls since, as one does that is down for all routers.
 *
 * <p>Thread-safe. The lock is not held while the store is called.
 */
final class ControlClaim {
    /**
     * How long after it noticed a restore a router claims the control whose own lease is no longer valid, in
     * milliseconds: the time to live of the control, 2% of drift and 200 ms of transit.
     */
    static final long CLAIM_DELAY_MILLIS = 1_750;
    /** Further delay of routers that did not control the keys, in milliseconds: the former controller knows more. */
    static final long OTHERS_DELAY_MILLIS = 500;
    /** Claims of the routers that did not control the keys are spread over this time, in milliseconds. */
    private static final long SPREAD_MILLIS = 500;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SuspensionDetector suspensions;
    private final LongSupplier clockNanos;
    private final Consumer<KeyEvent> keyEvents;
    private final RandomGenerator random;
    private boolean hasControl;
    private boolean wasSuspended;
    /** Whether a call since the last renewal was lost, so that the store may have been there for others. */
    private boolean wasUnanswered;

    private long validUntilNanos;
    private long startedNanos;
    private long era;
    private boolean isRestoreUnhandled;
    private boolean isPending;
    private long dueNanos;

    ControlClaim(
            SuspensionDetector suspensions,
            LongSupplier clockNanos,
            Consumer<KeyEvent> keyEvents,
            RandomGenerator random) {
        this.suspensions = suspensions;
        this.clockNanos = clockNanos;
        this.keyEvents = keyEvents;
        this.random = random;
    }

    /** Records that a renewal or acquisition of the control is about to be sent. */
    synchronized void startRenewal() {
        wasSuspended |= suspensions.wasSuspended();
        startedNanos = clockNanos.getAsLong();
    }

    /**
     * Reports a renewal that the store accepted, unless the VM was suspended or the store restored since it was sent.
     *
     * @param sentNanos when it was sent, by the system's monotonic clock
     * @param validMillis how long the lease counts as valid from then on, in milliseconds
     */
    synchronized void recordRenewal(long sentNanos, long validMillis, long lease, long storeEra) {
        if (isRestoreUnhandled) {
            EventLog.warn("lease-renewal-ignored", "the store was restored meanwhile; lease=" + lease);
        } else if (suspensions.wasSuspended()) {
            wasSuspended = true;
            EventLog.warn("lease-renewal-ignored", "the VM was suspended meanwhile; lease=" + lease);
        } else {
            wasSuspended = false;
            wasUnanswered = false;
            if (!hasControl && storeEra > 0) {
                keyEvents.accept(new KeyEvent.EraKnown(storeEra));
            }
            hasControl = true;
            validUntilNanos = startedNanos + validMillis * NANOS_PER_MILLI;
            keyEvents.accept(new KeyEvent.LeaseRenewed(sentNanos + validMillis * NANOS_PER_MILLI));
        }
    }

    /** Records a call without an answer: another router may reach the store and have the control after this one. */
    synchronized void recordUnanswered() {
        wasUnanswered = true;
    }

    /** Records that this router gave up the control or that the store ended its lease. */
    synchronized void recordLost() {
        hasControl = false;
        keyEvents.accept(new KeyEvent.LeaseLost());
    }

    /** Records that the store was restored from an older copy, which begins {@code newEra}: the control is lost. */
    synchronized void recordRestore(long newEra) {
        wasSuspended |= suspensions.wasSuspended();
        long nowNanos = clockNanos.getAsLong();
        boolean isValid = hasControl && !wasSuspended && validUntilNanos - nowNanos > 0;
        boolean isUnbroken = isValid || (hasControl && !wasSuspended && !wasUnanswered);
        era = newEra;
        isRestoreUnhandled = true;
        isPending = true;
        dueNanos = nowNanos + (isValid ? 0 : delayMillis(hasControl) * NANOS_PER_MILLI);
        EventLog.info(
                "control-claim",
                "era=%d wasController=%s isLeaseValid=%s delayMillis=%d"
                        .formatted(newEra, hasControl, isValid, (dueNanos - nowNanos) / NANOS_PER_MILLI));
        hasControl = false;
        keyEvents.accept(new KeyEvent.StoreRestored(newEra, isUnbroken));
    }

    private long delayMillis(boolean wasController) {
        return wasController
                ? CLAIM_DELAY_MILLIS
                : CLAIM_DELAY_MILLIS + OTHERS_DELAY_MILLIS + random.nextLong(SPREAD_MILLIS);
    }

    /** Returns whether the store was restored since the last call, so that all leases are lost. */
    synchronized boolean takeRestore() {
        boolean wasUnhandled = isRestoreUnhandled;
        isRestoreUnhandled = false;
        return wasUnhandled;
    }

    /** Records a controller whose lease is of {@code controllerEra}: from the current era on, it has the control. */
    synchronized void recordController(long controllerEra) {
        isPending = isPending && controllerEra < era;
    }

    /** Returns whether no router is known to have the control in the current era, so that only a claim is allowed. */
    synchronized boolean isPending() {
        return isPending;
    }

    /** Returns whether this router may claim the control. */
    synchronized boolean isDue() {
        return isPending && clockNanos.getAsLong() - dueNanos >= 0;
    }

    /** Returns the time until this router may claim the control, in milliseconds; negative afterwards. */
    synchronized long remainingMillis() {
        return (dueNanos - clockNanos.getAsLong()) / NANOS_PER_MILLI;
    }

    /** Ends the claim, whether this router or another one has the control now. */
    synchronized void end() {
        isPending = isPending && isRestoreUnhandled;
    }
}
