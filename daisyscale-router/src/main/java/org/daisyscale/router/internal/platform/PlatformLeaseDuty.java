package org.daisyscale.router.internal.platform;

import java.time.Duration;
import java.util.Optional;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.core.platform.Lease;
import org.daisyscale.core.platform.PlatformService;
import org.daisyscale.router.internal.ring.Ring;

/**
 * Runs the duty {@code platform-lease}: acquires, renews and releases the control lease, independently of slow writes.
 * The time in {@link Event.ControlLeaseHeld} is read before the call is sent. Not thread-safe; confined to the duty's
 * thread.
 */
final class PlatformLeaseDuty {
    private static final Duration WAIT = Duration.ofSeconds(10);

    private final PlatformService platform;
    private final PlatformReader reader;
    private final String key;
    private final String routerId;
    private final Duration timeToLive;
    private final Ring<Action> actions;
    private final Ring<Event> events;
    private Optional<Lease> lease = Optional.empty();

    PlatformLeaseDuty(PlatformContext context, String routerId, Duration timeToLive, Ring<Action> actions) {
        this.platform = context.platform();
        this.reader = context.reader();
        this.key = context.keys().control();
        this.routerId = routerId;
        this.timeToLive = timeToLive;
        this.actions = actions;
        this.events = context.events();
    }

    /** Performs the next action, if one arrives in time. */
    void step() throws InterruptedException {
        Optional<Action> next = actions.poll(WAIT);
        if (next.isEmpty()) {
            return;
        }
        try {
            if (next.get() instanceof Action.HoldControlLease) {
                acquireOrRenew();
            } else {
                release();
            }
        } catch (DaisyscaleException e) {
            reader.reportFailure(e);
        }
    }

    private void acquireOrRenew() throws InterruptedException {
        long requestedNanos = System.nanoTime();
        if (lease.isPresent()) {
            renew(lease.get(), requestedNanos);
        } else {
            acquire(requestedNanos);
        }
    }

    private void renew(Lease held, long requestedNanos) throws InterruptedException {
        if (platform.renewLease(held)) {
            events.put(new Event.ControlLeaseHeld(held.term(), requestedNanos));
        } else {
            lease = Optional.empty();
            events.put(new Event.ControlLeaseLost(otherHolder()));
        }
    }

    private void acquire(long requestedNanos) throws InterruptedException {
        lease = platform.acquireLease(key, routerId, timeToLive);
        if (lease.isPresent()) {
            events.put(new Event.ControlLeaseHeld(lease.get().term(), requestedNanos));
        } else {
            events.put(new Event.ControlLeaseLost(otherHolder()));
        }
    }

    private void release() throws InterruptedException {
        if (lease.isPresent()) {
            Lease held = lease.get();
            lease = Optional.empty();
            platform.releaseLease(held);
        }
        events.put(new Event.ControlLeaseLost(""));
    }

    private String otherHolder() {
        return platform.leaseHolder(key)
                .filter(holder -> !holder.equals(routerId))
                .orElse("");
    }
}
