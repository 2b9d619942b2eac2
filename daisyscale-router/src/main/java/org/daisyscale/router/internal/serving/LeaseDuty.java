package org.daisyscale.router.internal.serving;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.StoreException;

/**
 * Holds the leases of this router. One registers the router until its process ends, so that other routers count it
 * while it serves. The other one holds the control of the keys; it is acquired when no other router is the controller
 * and released when this router stops. The lifetime of a lease counts from before its renewal was sent. All leases end
 * when the store was restored from an older copy, also those that the store renews.
 *
 * <p>Thread-safe except for {@link #runStep}, which is confined to one thread.
 */
final class LeaseDuty {
    /**
     * Time to live of the lease of the control, in milliseconds: a lost controller is replaced before the grants that
     * it gave expire.
     */
    private static final long CONTROL_TIME_TO_LIVE_MILLIS = 1_500;
    /** Interval between renewals of the control, in milliseconds: three fit into its time to live. */
    private static final long RENEW_INTERVAL_MILLIS = 400;
    /**
     * Time to live of the registration, in milliseconds. A router that ended is counted for as long, which only makes
     * the fractions of the others smaller.
     */
    private static final long REGISTRATION_TIME_TO_LIVE_MILLIS = 4_000;
    /** Interval between renewals of the registration, in milliseconds: three fit into its time to live. */
    private static final long REGISTRATION_RENEW_INTERVAL_MILLIS = 1_200;
    /**
     * How long a router waits before it takes the control while a VM with more processor time is registered, in
     * milliseconds: enough for that one to take it first.
     */
    private static final long DEFERENCE_MILLIS = 300;
    /** Delay after a failed call while this router controls the keys, in milliseconds. */
    private static final long CONTROL_RETRY_DELAY_MILLIS = 150;
    /** Delay after a failed call of another router, in milliseconds: the registration lasts for several attempts. */
    private static final long RETRY_DELAY_MILLIS = 600;
    /**
     * How long before its expiry a lease is treated as expired, in milliseconds: covers the transit time of the last
     * orders.
     */
    private static final long EXPIRY_MARGIN_MILLIS = 200;

    /** Longest delay of the new registration after a restore, in milliseconds: spreads the calls of all routers. */
    private static final long REGISTRATION_SPREAD_MILLIS = 1_000;

    private static final int SECRET_BYTES = 24;

    private final CoordinationStore store;
    private final RouterEntry self;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Semaphore wakeUps = new Semaphore(0);
    private final LongSupplier clockNanos;
    private final ControlClaim claim;
    private volatile boolean isControllerKnown;
    private volatile boolean isControlled = true;
    private volatile boolean isSecretMissing;
    private volatile boolean isStopping;
    private volatile String knownSecret;
    private volatile double mostCores;
    private volatile long uncontrolledSinceNanos;
    private long registrationLease;
    private long registrationDueNanos = System.nanoTime();
    private boolean isRegistered;
    private long registeredNanos;
    private long controlLease;
    private boolean mustRestoreSecret;

    LeaseDuty(
            CoordinationStore store,
            RouterEntry self,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents,
            SuspensionDetector suspensions,
            LongSupplier clockNanos) {
        this.store = store;
        this.self = self;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
        this.clockNanos = clockNanos;
        this.claim = new ControlClaim(suspensions, clockNanos, keyEvents, new SplittableRandom());
    }

    /** Drops all leases, because the store was restored from an older copy, which begins {@code newEra}. */
    void recordEra(long newEra) {
        claim.recordRestore(newEra);
        wakeUps.release();
    }

    /** Records a controller in the store; one of an older era has lost its lease. */
    void recordController(RouterEntry controller) {
        claim.recordController(controller.era());
    }

    /** Records the secret of the peers, which is written again if a restored store lacks it. */
    void recordSecret(String secret) {
        knownSecret = secret;
    }

    /**
     * Records what the store contains: whether some router controls the keys, and whether the secret of the peers is
     * missing.
     */
    void recordStoreState(boolean newIsControlled, boolean newIsSecretMissing) {
        if (!newIsControlled && (isControlled || !isControllerKnown)) {
            uncontrolledSinceNanos = clockNanos.getAsLong();
        }
        isControllerKnown = true;
        isControlled = newIsControlled;
        isSecretMissing = newIsSecretMissing;
        if (!newIsControlled || newIsSecretMissing) {
            wakeUps.release();
        }
    }

    /** Records the largest processor share of the VMs of all registered routers, in cores. */
    void recordMostCores(double newMostCores) {
        mostCores = newMostCores;
    }

    /** Releases the control of the keys and does not acquire it again; the router stays registered. */
    void stop() {
        isStopping = true;
        wakeUps.release();
    }

    /** Renews the leases, acquires the control if it is free, and waits until the next renewal. */
    void runStep() throws InterruptedException {
        long delayMillis = RENEW_INTERVAL_MILLIS;
        try {
            dropLostLeases();
            if (System.nanoTime() - registrationDueNanos >= 0) {
                registrationDueNanos = System.nanoTime() + REGISTRATION_RENEW_INTERVAL_MILLIS * 1_000_000L;
                renewRegistration();
            }
            if (isStopping) {
                releaseControl();
            } else {
                dropLostLeases();
                renewControl();
                createMissingSecret();
                dropLostLeases();
                acquireControl();
            }
        } catch (StoreException e) {
            delayMillis = isController() ? CONTROL_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS;
            registrationDueNanos = registrationLease == 0 ? registrationDueNanos : System.nanoTime();
            EventLog.info(
                    "lease-call-failed",
                    "registration=%d control=%d reason=%s".formatted(registrationLease, controlLease, e.detail()));
            if (e.errorCode() == StoreException.Code.UNREACHABLE) {
                claim.recordUnanswered();
            }
            if (isController()) {
                keyEvents.accept(new KeyEvent.LeaseInDoubt());
            }
        }
        wakeUps.tryAcquire(delayMillis, TimeUnit.MILLISECONDS);
        wakeUps.drainPermits();
    }

    /** Forgets the leases of an older era: their ids may belong to other routers now. */
    private void dropLostLeases() {
        if (claim.takeRestore()) {
            EventLog.warn(
                    "leases-lost",
                    "registration=%d control=%d era=%d: the store was restored"
                            .formatted(registrationLease, controlLease, store.era()));
            registrationLease = 0;
            controlLease = 0;
            isRegistered = false;
            registrationDueNanos =
                    System.nanoTime() + ThreadLocalRandom.current().nextLong(REGISTRATION_SPREAD_MILLIS) * 1_000_000L;
        }
    }

    private void renewRegistration() {
        long sentNanos = System.nanoTime();
        if (registrationLease == 0) {
            registrationLease = store.grantLease(Duration.ofMillis(REGISTRATION_TIME_TO_LIVE_MILLIS));
        } else if (!store.renewLease(registrationLease)) {
            EventLog.warn("registration-lost", "lease=" + registrationLease);
            registrationLease = 0;
            isRegistered = false;
            registrationDueNanos = System.nanoTime();
            return;
        }
        if (!isRegistered) {
            register();
        }
        if (isRegistered) {
            servingEvents.accept(new ServingEvent.RegistrationRenewed(
                    registeredNanos, validUntil(sentNanos, REGISTRATION_TIME_TO_LIVE_MILLIS)));
        }
    }

    private static long validUntil(long sentNanos, long timeToLiveMillis) {
        return sentNanos + (timeToLiveMillis - EXPIRY_MARGIN_MILLIS) * 1_000_000L;
    }

    private void register() {
        String key = StoreKeys.router(self.routerId());
        long expected = store.get(key).map(Item::revision).orElse(0L);
        Change change = new Change(key, expected, entry(registrationLease), registrationLease);
        isRegistered = store.write(change).outcome() == WriteOutcome.ACCEPTED;
        registeredNanos = System.nanoTime();
        EventLog.info(
                "registered", "lease=%d accepted=%s era=%d".formatted(registrationLease, isRegistered, store.era()));
    }

    private byte[] entry(long leaseId) {
        return Json.write(self.withLease(leaseId, store.era()));
    }

    private boolean isController() {
        return controlLease != 0;
    }

    private void renewControl() {
        if (!isController()) {
            return;
        }
        long sentNanos = System.nanoTime();
        claim.startRenewal();
        if (store.renewLease(controlLease)) {
            reportRenewal(sentNanos);
        } else {
            EventLog.warn("control-lost", "lease=" + controlLease);
            loseControl();
        }
    }

    /** Reports a renewal that was sent at {@code sentNanos}, unless the VM was suspended or the lease lost since. */
    private void reportRenewal(long sentNanos) {
        claim.recordRenewal(sentNanos, CONTROL_TIME_TO_LIVE_MILLIS - EXPIRY_MARGIN_MILLIS, controlLease, store.era());
    }

    private void loseControl() {
        controlLease = 0;
        claim.recordLost();
    }

    private void createMissingSecret() {
        if (isControllerKnown && (isSecretMissing || mustRestoreSecret)) {
            isSecretMissing = false;
            Optional<String> known = Optional.ofNullable(knownSecret);
            WriteOutcome outcome = store.write(
                            new Change(StoreKeys.PEER_SECRET, 0, Json.write(known.orElseGet(LeaseDuty::newSecret)), 0))
                    .outcome();
            mustRestoreSecret = mustRestoreSecret && outcome == WriteOutcome.UNKNOWN;
            if (known.isPresent()) {
                EventLog.info("peer-secret-restored", "outcome=" + outcome + " era=" + store.era());
            }
        }
    }

    private static String newSecret() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        return HexFormat.of().formatHex(secret);
    }

    private void acquireControl() {
        if (isController() || !isControllerKnown || isDeferring()) {
            return;
        }
        if (claim.isDue()) {
            claimControl();
        } else if (!isControlled && !claim.isPending()) {
            acquireControl(0);
        }
    }

    /** Acquires the control in a new era unless another router has it; the entry of an older era is replaced. */
    private void claimControl() {
        Optional<Item> found = store.get(StoreKeys.CONTROLLER);
        boolean isTaken = found.map(LeaseDuty::controllerIn)
                .filter(entry -> entry.era() >= store.era())
                .isPresent();
        if (isTaken) {
            isControlled = true;
        } else {
            acquireControl(found.map(Item::revision).orElse(0L));
            mustRestoreSecret = isController() && knownSecret != null;
        }
        claim.end();
    }

    /** Acquires the control if the controller's item still has {@code expectedRevision}, or is absent for 0. */
    private void acquireControl(long expectedRevision) {
        long sentNanos = System.nanoTime();
        claim.startRenewal();
        long lease = store.grantLease(Duration.ofMillis(CONTROL_TIME_TO_LIVE_MILLIS));
        WriteOutcome outcome = store.write(new Change(StoreKeys.CONTROLLER, expectedRevision, entry(lease), lease))
                .outcome();
        boolean isAcquired = outcome == WriteOutcome.ACCEPTED || (outcome == WriteOutcome.UNKNOWN && isHeldBy(lease));
        if (isAcquired && store.renewLease(lease)) {
            controlLease = lease;
            EventLog.info("control-taken", "lease=" + lease + " era=" + store.era());
            reportRenewal(sentNanos);
        }
        isControlled = true;
    }

    private static RouterEntry controllerIn(Item item) {
        return Json.read(item.value(), RouterEntry.class);
    }

    private boolean isDeferring() {
        return self.cores() < mostCores
                && clockNanos.getAsLong() - uncontrolledSinceNanos < DEFERENCE_MILLIS * 1_000_000L;
    }

    private boolean isHeldBy(long lease) {
        Optional<Item> item = store.get(StoreKeys.CONTROLLER);
        return item.map(LeaseDuty::controllerIn)
                .filter(entry -> entry.leaseId() == lease && entry.routerId().equals(self.routerId()))
                .isPresent();
    }

    private void releaseControl() {
        if (isController()) {
            long ended = controlLease;
            loseControl();
            store.endLease(ended);
            EventLog.info("control-given-back", "lease=" + ended);
        }
    }
}
