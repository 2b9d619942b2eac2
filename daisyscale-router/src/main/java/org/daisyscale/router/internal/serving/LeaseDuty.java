package org.daisyscale.router.internal.serving;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Change;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.WriteOutcome;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.StoreException;

/**
 * Holds the leases of this router. One registers the router until its process ends, so that other routers count it
 * while it serves. The other one holds the control of the keys; it is acquired when no other router is the controller
 * and released when this router stops. The lifetime of a lease counts from before its renewal was sent. Thread-safe
 * except for {@link #runStep}, which is confined to one thread.
 */
final class LeaseDuty {
    /**
     * Time to live of a lease, in milliseconds: a lost controller is replaced before the grants that it gave expire.
     */
    private static final long TIME_TO_LIVE_MILLIS = 1_500;
    /** Interval between renewals, in milliseconds: three fit into the time to live. */
    private static final long RENEW_INTERVAL_MILLIS = 400;
    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;
    /**
     * How long before its expiry a lease is treated as expired, in milliseconds: covers the transit time of the last
     * orders.
     */
    private static final long EXPIRY_MARGIN_MILLIS = 200;

    private static final int SECRET_BYTES = 24;

    private final CoordinationStore store;
    private final String routerId;
    private final Address peerAddress;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Semaphore wakeUps = new Semaphore(0);
    private volatile boolean isControllerKnown;
    private volatile boolean isControlled = true;
    private volatile boolean isSecretMissing;
    private volatile boolean isStopping;
    private long registrationLease;
    private boolean isRegistered;
    private long registeredNanos;
    private long controlLease;

    LeaseDuty(
            CoordinationStore store,
            String routerId,
            Address peerAddress,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents) {
        this.store = store;
        this.routerId = routerId;
        this.peerAddress = peerAddress;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
    }

    /**
     * Records what the store contains: whether some router controls the keys, and whether the secret of the peers is
     * missing.
     */
    void recordStoreState(boolean newIsControlled, boolean newIsSecretMissing) {
        isControllerKnown = true;
        isControlled = newIsControlled;
        isSecretMissing = newIsSecretMissing;
        if (!newIsControlled || newIsSecretMissing) {
            wakeUps.release();
        }
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
            renewRegistration();
            if (isStopping) {
                releaseControl();
            } else {
                renewControl();
                createMissingSecret();
                acquireControl();
            }
        } catch (StoreException e) {
            delayMillis = RETRY_DELAY_MILLIS;
            EventLog.info(
                    "lease-call-failed",
                    "registration=%d control=%d reason=%s".formatted(registrationLease, controlLease, e.detail()));
            if (isController()) {
                keyEvents.accept(new KeyEvent.LeaseInDoubt());
            }
        }
        wakeUps.tryAcquire(delayMillis, TimeUnit.MILLISECONDS);
        wakeUps.drainPermits();
    }

    private void renewRegistration() {
        long sentNanos = System.nanoTime();
        if (registrationLease == 0) {
            registrationLease = grantLease();
        } else if (!store.renewLease(registrationLease)) {
            EventLog.warn("registration-lost", "lease=" + registrationLease);
            registrationLease = 0;
            isRegistered = false;
            return;
        }
        if (!isRegistered) {
            register();
        }
        if (isRegistered) {
            servingEvents.accept(new ServingEvent.RegistrationRenewed(registeredNanos, validUntil(sentNanos)));
        }
    }

    private long grantLease() {
        return store.grantLease(Duration.ofMillis(TIME_TO_LIVE_MILLIS));
    }

    private static long validUntil(long sentNanos) {
        return sentNanos + (TIME_TO_LIVE_MILLIS - EXPIRY_MARGIN_MILLIS) * 1_000_000L;
    }

    private void register() {
        String key = StoreKeys.router(routerId);
        long expected = store.get(key).map(Item::revision).orElse(0L);
        Change change = new Change(key, expected, entry(registrationLease), registrationLease);
        isRegistered = store.write(change).outcome() == WriteOutcome.ACCEPTED;
        registeredNanos = System.nanoTime();
        EventLog.info("registered", "lease=" + registrationLease + " accepted=" + isRegistered);
    }

    private byte[] entry(long leaseId) {
        return Json.write(new RouterEntry(routerId, peerAddress.host(), peerAddress.port(), leaseId));
    }

    private boolean isController() {
        return controlLease != 0;
    }

    private void renewControl() {
        if (!isController()) {
            return;
        }
        long sentNanos = System.nanoTime();
        if (store.renewLease(controlLease)) {
            keyEvents.accept(new KeyEvent.LeaseRenewed(validUntil(sentNanos)));
        } else {
            EventLog.warn("control-lost", "lease=" + controlLease);
            loseControl();
        }
    }

    private void loseControl() {
        controlLease = 0;
        keyEvents.accept(new KeyEvent.LeaseLost());
    }

    private void createMissingSecret() {
        if (isControllerKnown && isSecretMissing) {
            isSecretMissing = false;
            byte[] secret = new byte[SECRET_BYTES];
            new SecureRandom().nextBytes(secret);
            store.write(new Change(
                    StoreKeys.PEER_SECRET, 0, Json.write(HexFormat.of().formatHex(secret)), 0));
        }
    }

    private void acquireControl() {
        if (isController() || !isControllerKnown || isControlled) {
            return;
        }
        long sentNanos = System.nanoTime();
        long lease = grantLease();
        WriteOutcome outcome = store.write(new Change(StoreKeys.CONTROLLER, 0, entry(lease), lease))
                .outcome();
        boolean isAcquired = outcome == WriteOutcome.ACCEPTED || (outcome == WriteOutcome.UNKNOWN && isHeldBy(lease));
        if (isAcquired && store.renewLease(lease)) {
            controlLease = lease;
            EventLog.info("control-taken", "lease=" + lease);
            keyEvents.accept(new KeyEvent.LeaseRenewed(validUntil(sentNanos)));
        }
        isControlled = true;
    }

    private boolean isHeldBy(long lease) {
        Optional<Item> item = store.get(StoreKeys.CONTROLLER);
        return item.map(found -> Json.read(found.value(), RouterEntry.class).leaseId() == lease)
                .orElse(false);
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
