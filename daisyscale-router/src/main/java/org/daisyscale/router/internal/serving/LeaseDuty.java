package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
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
    /**
     * How many routers on equally large VMs try to take the control at once. Each attempt costs calls of the store, and
     * only one succeeds; with three, the loss of a data centre rarely includes all of them.
     */
    static final int FIRST_CANDIDATES = 3;
    /** Shortest delay until the next attempt of a router that leaves the control to others, in milliseconds. */
    private static final long MIN_DELAY_MILLIS = 10;
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

    private final CoordinationStore store;
    private final RouterEntry self;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Semaphore wakeUps = new Semaphore(0);
    private final LongSupplier clockNanos;
    private final RandomGenerator random = new SplittableRandom();
    private final ControlClaim claim;
    private volatile boolean isControllerKnown;
    private volatile boolean isControlled = true;
    private volatile boolean isSecretMissing;
    private volatile boolean isStopping;
    private volatile String knownSecret;
    private volatile double mostCores;
    private volatile int candidateRank;
    private volatile long uncontrolledSinceNanos;
    private long registrationLease;
    private long registrationDueNanos = System.nanoTime();
    /** Before this time the router doesn't register again, so that the calls of all routers are spread. */
    private long notRegisteredBeforeNanos = registrationDueNanos;

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

    /** Records how many registered routers on equally large VMs try to take the control before this one. */
    void recordCandidateRank(int newCandidateRank) {
        candidateRank = newCandidateRank;
    }

    /** Returns whether some router controls the keys, as far as this router knows from the store. */
    boolean isControlled() {
        return isControlled;
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
            if (isRegistrationDue()) {
                registrationDueNanos = System.nanoTime() + REGISTRATION_RENEW_INTERVAL_MILLIS * 1_000_000L;
                renewRegistration();
            }
            if (isStopping) {
                releaseControl();
            } else {
                dropLostLeases();
                renewControl();
                dropLostLeases();
                acquireControl();
                createMissingSecret();
                delayMillis = delayMillis();
            }
        } catch (StoreException e) {
            delayMillis = isController() ? CONTROL_RETRY_DELAY_MILLIS : RETRY_DELAY_MILLIS;
            registrationDueNanos = System.nanoTime();
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

    private boolean isRegistrationDue() {
        long nowNanos = System.nanoTime();
        return nowNanos - registrationDueNanos >= 0 && nowNanos - notRegisteredBeforeNanos >= 0;
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
            registrationDueNanos = System.nanoTime();
            notRegisteredBeforeNanos = registrationDueNanos + random.nextLong(REGISTRATION_SPREAD_MILLIS) * 1_000_000L;
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

    /** Writes the registration; it is read first only if one of an earlier process or lease is still there. */
    private void register() {
        String key = StoreKeys.router(self.routerId());
        WriteOutcome outcome = writeRegistration(key, 0);
        if (outcome != WriteOutcome.ACCEPTED) {
            long expected = store.get(key).map(Item::revision).orElse(0L);
            outcome = writeRegistration(key, expected);
        }
        isRegistered = outcome == WriteOutcome.ACCEPTED;
        registeredNanos = System.nanoTime();
        EventLog.info(
                "registered", "lease=%d accepted=%s era=%d".formatted(registrationLease, isRegistered, store.era()));
    }

    private WriteOutcome writeRegistration(String key, long expectedRevision) {
        return store.write(new Change(key, expectedRevision, entry(registrationLease), registrationLease))
                .outcome();
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

    /** Only the controller writes the secret: the others can't connect before there is a controller anyway. */
    private void createMissingSecret() {
        if (isController() && (isSecretMissing || mustRestoreSecret)) {
            Optional<String> known = Optional.ofNullable(knownSecret);
            WriteOutcome outcome = store.write(
                            new Change(StoreKeys.PEER_SECRET, 0, Json.write(known.orElseGet(RandomSecret::create)), 0))
                    .outcome();
            isSecretMissing = outcome == WriteOutcome.UNKNOWN;
            mustRestoreSecret = mustRestoreSecret && isSecretMissing;
            if (known.isPresent()) {
                EventLog.info("peer-secret-restored", "outcome=" + outcome + " era=" + store.era());
            }
        }
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
        return deferenceNanos() - (clockNanos.getAsLong() - uncontrolledSinceNanos) > 0;
    }

    /** Returns how long this router leaves the control to others: to larger VMs first, then to earlier candidates. */
    private long deferenceNanos() {
        long millis = (self.cores() < mostCores ? DEFERENCE_MILLIS : 0)
                + (candidateRank >= FIRST_CANDIDATES ? DEFERENCE_MILLIS : 0);
        return millis * 1_000_000L;
    }

    /** Returns the delay until the next step: until the next renewal, or until this router may take the control. */
    private long delayMillis() {
        if (claim.isPending()) {
            return Math.max(MIN_DELAY_MILLIS, Math.min(RENEW_INTERVAL_MILLIS, claim.remainingMillis()));
        }
        if (isController() || !isControllerKnown || isControlled) {
            return RENEW_INTERVAL_MILLIS;
        }
        long remainingNanos = deferenceNanos() - (clockNanos.getAsLong() - uncontrolledSinceNanos);
        return Math.max(MIN_DELAY_MILLIS, Math.min(RENEW_INTERVAL_MILLIS, remainingNanos / 1_000_000L + 1));
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
