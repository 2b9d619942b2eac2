package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeySettings;

/**
 * Controls the keys of all sharded services while this router holds the control lease. Not thread-safe; confined to one
 * thread.
 */
final class LeasedKeyController implements KeyController {
    /** Hold of a grant, in milliseconds: longer than a takeover by another controller, shorter than callers wait. */
    private static final long HOLD_MILLIS = 2_400;
    /** Interval at which due calls are made while this router controls the keys, in milliseconds. */
    private static final long STEP_MILLIS = 50;

    private final KeySettings settings;
    private final ServerRegistry registry = new ServerRegistry();
    private final CallIdSequence callIds = new CallIdSequence();
    private final OwnerTracker owners;
    private final Map<String, ServiceKeyCoordinator> coordinatorByService = new TreeMap<>();
    private boolean isLeaseHeld;
    private boolean isLeading;
    private boolean isInDoubt;
    private long validUntilNanos;
    private long nextStepNanos = Long.MAX_VALUE;

    LeasedKeyController(KeySettings settings) {
        this.settings = settings;
        this.owners = new OwnerTracker(settings.holdMaxMillis());
    }

    @Override
    public List<KeyAction> handle(KeyEvent event, long nowNanos) {
        List<KeyAction> actions = new ArrayList<>();
        if (!handleLeaseEvent(event, actions, nowNanos) && !handleMapEvent(event)) {
            handleOtherEvent(event, nowNanos);
        }
        if (!(event instanceof KeyEvent.LoadReported) || nowNanos - nextStepNanos >= 0) {
            step(actions, nowNanos);
        }
        return actions;
    }

    private boolean handleLeaseEvent(KeyEvent event, List<KeyAction> actions, long nowNanos) {
        if (event instanceof KeyEvent.LeaseRenewed renewed) {
            validUntilNanos = renewed.validUntilNanos();
            isInDoubt = false;
            if (!isLeaseHeld) {
                startLeading(actions, nowNanos);
            } else if (!isLeading) {
                resume(actions);
            }
        } else if (event instanceof KeyEvent.LeaseInDoubt) {
            if (isLeading && !isInDoubt) {
                isInDoubt = true;
                coordinatorByService
                        .values()
                        .forEach(coordinator -> coordinator.calls().renewAllNow(nowNanos));
            }
        } else if (event instanceof KeyEvent.LeaseLost) {
            isLeading = false;
            isLeaseHeld = false;
        } else {
            return false;
        }
        return true;
    }

    /** Resumes after a late renewal: the lease never expired, so no other controller can have changed anything. */
    private void resume(List<KeyAction> actions) {
        isLeading = true;
        actions.add(new KeyAction.Report("keys-resumed", "the lease renewal arrived late"));
    }

    private void startLeading(List<KeyAction> actions, long nowNanos) {
        isLeaseHeld = true;
        isLeading = true;
        owners.startTerm(nowNanos);
        coordinatorByService.forEach((service, coordinator) -> {
            coordinator.restart(nowNanos);
            actions.add(new KeyAction.ReadMap(service));
        });
        actions.add(new KeyAction.Report("keys-controlled", "services=" + coordinatorByService.keySet()));
    }

    private boolean handleMapEvent(KeyEvent event) {
        if (event instanceof KeyEvent.MapRead read) {
            coordinator(read.map().service()).onMapRead(read.map(), read.revision());
        } else if (event instanceof KeyEvent.MapWritten written) {
            coordinator(written.map().service()).onMapWritten(written.map(), written.revision());
        } else if (event instanceof KeyEvent.MapAbsent absent) {
            coordinator(absent.service()).onMapAbsent();
        } else if (event instanceof KeyEvent.MapWriteFailed failed) {
            coordinator(failed.service()).onMapWriteFailed();
        } else {
            return false;
        }
        return true;
    }

    private void handleOtherEvent(KeyEvent event, long nowNanos) {
        Collection<ServiceKeyCoordinator> all = coordinatorByService.values();
        if (event instanceof KeyEvent.FleetChanged changed) {
            registry.apply(changed.change(), nowNanos);
        } else if (event instanceof KeyEvent.LoadReported reported) {
            coordinator(reported.load().service()).add(reported.load(), nowNanos);
        } else if (event instanceof KeyEvent.GrantAccepted accepted) {
            all.forEach(coordinator -> coordinator.calls().onGrantAccepted(accepted.callId()));
        } else if (event instanceof KeyEvent.GrantRejected rejected) {
            all.forEach(coordinator -> coordinator.calls().onGrantRejected(rejected.callId()));
        } else if (event instanceof KeyEvent.RenewalUnverified unverified) {
            all.forEach(coordinator -> coordinator.calls().onRenewalUnverified(unverified.callId(), nowNanos));
        } else if (event instanceof KeyEvent.CallUnanswered unanswered) {
            all.forEach(coordinator ->
                    coordinator.calls().onUnanswered(unanswered.callId(), unanswered.wasSent(), nowNanos));
        } else if (event instanceof KeyEvent.OwnerGone gone) {
            all.forEach(coordinator -> coordinator.calls().onOwnerGone(gone.callId(), nowNanos));
        } else if (event instanceof KeyEvent.Released released) {
            all.forEach(coordinator -> coordinator.calls().onReleased(released.callId(), released.handover()));
        }
    }

    private ServiceKeyCoordinator coordinator(String service) {
        return coordinatorByService.computeIfAbsent(
                service, name -> new ServiceKeyCoordinator(name, registry, owners, callIds));
    }

    private void step(List<KeyAction> actions, long nowNanos) {
        if (isLeading && validUntilNanos - nowNanos <= 0) {
            isLeading = false;
            actions.add(new KeyAction.Report(
                    "keys-lease-ended", "the lease was not renewed in time; control stops until it is renewed"));
        }
        if (!isLeading) {
            nextStepNanos = Long.MAX_VALUE;
            return;
        }
        for (String service : registry.shardedServices()) {
            if (coordinator(service).isUnread()) {
                coordinator(service).restart(nowNanos);
                actions.add(new KeyAction.ReadMap(service));
            }
        }
        long holdMillis = isInDoubt ? settings.holdMaxMillis() : HOLD_MILLIS;
        coordinatorByService.values().forEach(coordinator -> coordinator.step(holdMillis, actions, nowNanos));
        nextStepNanos = nowNanos + STEP_MILLIS * 1_000_000L;
    }

    @Override
    public long nextDueNanos() {
        return nextStepNanos;
    }
}
