package org.daisyscale.core.internal.keys;

import java.util.ArrayList;
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
    /** Shortest hold of a grant, in milliseconds: longer than a takeover by another controller. */
    private static final long MIN_HOLD_MILLIS = 2_400;
    /**
     * Longest hold of a grant while the lease is renewed, in milliseconds: the keys of a lost server have to be served
     * again within 5 s.
     */
    private static final long MAX_HOLD_MILLIS = 4_500;
    /** Hold for each range, in milliseconds: the more ranges, the less often each is renewed. */
    private static final long HOLD_MILLIS_PER_RANGE = 24;
    /** Interval at which due calls are made while this router controls the keys, in milliseconds. */
    private static final long STEP_MILLIS = 50;

    /**
     * How long a call may wait in this router before it is sent, in milliseconds: the holds that a plan relies on are
     * counted from its sending.
     */
    private static final long MAX_UNSENT_MILLIS = 250;

    private final KeySettings settings;
    private final ServerRegistry registry = new ServerRegistry();
    private final CallIdSequence callIds = new CallIdSequence();
    private final OwnerTracker owners = new OwnerTracker();
    private final Map<String, ServiceKeyCoordinator> coordinatorByService = new TreeMap<>();
    private StoreHistory history = StoreHistory.NONE;
    private boolean isLeaseHeld;
    private boolean isLeading;
    private boolean isInDoubt;
    private long validUntilNanos;
    private long nextStepNanos = Long.MAX_VALUE;

    LeasedKeyController(KeySettings settings) {
        this.settings = settings;
    }

    @Override
    public List<KeyAction> handle(List<KeyEvent> events, long nowNanos) {
        List<KeyAction> actions = new ArrayList<>();
        boolean needsStep = nowNanos - nextStepNanos >= 0;
        for (KeyEvent event : events) {
            needsStep |= handleEraEvent(event)
                    || handleLeaseEvent(event, actions, nowNanos)
                    || handleMapEvent(event, nowNanos)
                    || handleOtherEvent(event, nowNanos);
        }
        if (needsStep) {
            step(actions, nowNanos);
        }
        return actions;
    }

    private boolean handleEraEvent(KeyEvent event) {
        if (event instanceof KeyEvent.StoreRestored restored) {
            history = new StoreHistory(restored.era(), true);
            boolean isUnbroken = isLeaseHeld && restored.isControlUnbroken();
            coordinatorByService.values().forEach(coordinator -> coordinator.recordRestore(isUnbroken));
            isLeading = false;
            isLeaseHeld = false;
        } else if (event instanceof KeyEvent.EraKnown known) {
            history = history.inEra(known.era());
        } else {
            return false;
        }
        return true;
    }

    private boolean handleLeaseEvent(KeyEvent event, List<KeyAction> actions, long nowNanos) {
        if (event instanceof KeyEvent.LeaseRenewed renewed) {
            validUntilNanos = renewed.validUntilNanos();
            isInDoubt = false;
            if (!isLeaseHeld) {
                startLeading(actions, nowNanos);
            } else if (!isLeading && validUntilNanos - nowNanos > 0) {
                resume(actions);
            }
        } else if (event instanceof KeyEvent.LeaseInDoubt) {
            if (isLeading && !isInDoubt) {
                isInDoubt = true;
                coordinatorByService
                        .values()
                        .forEach(coordinator -> coordinator.calls().renewAllNow(nowNanos));
            }
        } else if (event instanceof KeyEvent.LeaseUncertain) {
            validUntilNanos = nowNanos;
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
        owners.startTerm();
        coordinatorByService.forEach((service, coordinator) -> {
            coordinator.restart(history, nowNanos);
            actions.add(new KeyAction.ReadMap(service));
        });
        actions.add(new KeyAction.Report(
                "keys-controlled", "services=%s era=%d".formatted(coordinatorByService.keySet(), history.era())));
    }

    private boolean handleMapEvent(KeyEvent event, long nowNanos) {
        if (event instanceof KeyEvent.MapRead read) {
            coordinator(read.map().service()).onMapRead(read.map(), read.revision(), nowNanos);
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

    /** Handles the event and returns whether calls or plans may be due at once rather than at the next interval. */
    private boolean handleOtherEvent(KeyEvent event, long nowNanos) {
        if (event instanceof KeyEvent.FleetChanged changed) {
            registry.apply(changed.change(), nowNanos);
            return true;
        }
        if (event instanceof KeyEvent.LoadReported reported) {
            coordinator(reported.load().service()).add(reported.load(), nowNanos);
            return false;
        }
        boolean needsStep = event instanceof KeyEvent.TimePassed;
        for (ServiceKeyCoordinator coordinator : coordinatorByService.values()) {
            needsStep |= handleCallEnd(event, coordinator.calls(), nowNanos);
        }
        return needsStep;
    }

    private static boolean handleCallEnd(KeyEvent event, RangeCallCoordinator calls, long nowNanos) {
        if (event instanceof KeyEvent.GrantAccepted accepted) {
            return calls.onGrantAccepted(accepted.callId(), accepted.isProven(), nowNanos);
        } else if (event instanceof KeyEvent.GrantRejected rejected) {
            calls.onGrantRejected(rejected.callId());
            return true;
        } else if (event instanceof KeyEvent.RenewalUnverified unverified) {
            calls.onRenewalUnverified(unverified.callId(), nowNanos);
        } else if (event instanceof KeyEvent.CallExpired expired) {
            calls.onExpired(expired.callId(), nowNanos);
        } else if (event instanceof KeyEvent.CallUnanswered unanswered) {
            calls.onUnanswered(unanswered.callId(), unanswered.wasSent(), nowNanos);
        } else if (event instanceof KeyEvent.OwnerGone gone) {
            calls.onOwnerGone(gone.callId(), nowNanos);
            return true;
        } else if (event instanceof KeyEvent.Released released) {
            calls.onReleased(released.callId(), released.handover());
            return true;
        }
        return false;
    }

    private ServiceKeyCoordinator coordinator(String service) {
        return coordinatorByService.computeIfAbsent(
                service,
                name -> new ServiceKeyCoordinator(
                        name, registry, owners, new HoldLedger(settings.holdMaxMillis()), callIds));
    }

    private void step(List<KeyAction> actions, long nowNanos) {
        if (isLeading && validUntilNanos - nowNanos <= 0) {
            isLeading = false;
            actions.add(new KeyAction.Report(
                    "keys-lease-ended", "the lease was not renewed in time; control stops until it is renewed"));
        }
        if (!isLeading) {
            coordinatorByService.values().forEach(coordinator -> coordinator.abandonEvacuations(actions, nowNanos));
            nextStepNanos = Long.MAX_VALUE;
            return;
        }
        for (String service : registry.shardedServices()) {
            if (coordinator(service).isUnread()) {
                coordinator(service).restart(history, nowNanos);
                actions.add(new KeyAction.ReadMap(service));
            }
        }
        long maxUnsentNanos = Math.min(MAX_UNSENT_MILLIS * 1_000_000L, validUntilNanos - nowNanos);
        CallTerms terms = new CallTerms(holdMillis(), nowNanos + maxUnsentNanos);
        coordinatorByService.values().forEach(coordinator -> coordinator.step(terms, actions, nowNanos));
        nextStepNanos = nowNanos + STEP_MILLIS * 1_000_000L;
    }

    private long holdMillis() {
        if (isInDoubt) {
            return settings.holdMaxMillis();
        }
        long rangeCount = coordinatorByService.values().stream()
                .mapToLong(ServiceKeyCoordinator::rangeCount)
                .sum();
        long neededMillis = Math.max(MIN_HOLD_MILLIS, rangeCount * HOLD_MILLIS_PER_RANGE);
        return Math.min(Math.min(neededMillis, MAX_HOLD_MILLIS), settings.holdMaxMillis());
    }

    @Override
    public long nextDueNanos() {
        return nextStepNanos;
    }
}
