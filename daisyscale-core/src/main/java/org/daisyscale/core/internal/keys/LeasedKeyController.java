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

/** Controls the keys of all sharded services while the lease lasts. Owned by one thread. */
final class LeasedKeyController implements KeyController {
    /** How long a grant lasts, in milliseconds: longer than a takeover of control, shorter than a caller's patience. */
    private static final long HOLD_MILLIS = 2_400;
    /** How often due calls are looked for while this router controls the keys, in milliseconds. */
    private static final long STEP_MILLIS = 50;

    private final KeySettings settings;
    private final ServerRoster roster = new ServerRoster();
    private final CallNumbers callNumbers = new CallNumbers();
    private final OwnerWatch owners;
    private final Map<String, ServiceKeys> keysByService = new TreeMap<>();
    private boolean isLeaseHeld;
    private boolean isLeading;
    private boolean isInDoubt;
    private long validUntilNanos;
    private long nextStepNanos = Long.MAX_VALUE;

    LeasedKeyController(KeySettings settings) {
        this.settings = settings;
        this.owners = new OwnerWatch(settings.holdMaxMillis());
    }

    @Override
    public List<KeyAction> handle(KeyEvent event, long nowNanos) {
        List<KeyAction> actions = new ArrayList<>();
        if (!takeLeaseEvent(event, actions, nowNanos) && !takeMapEvent(event)) {
            takeOther(event, nowNanos);
        }
        if (!(event instanceof KeyEvent.LoadReported) || nowNanos - nextStepNanos >= 0) {
            step(actions, nowNanos);
        }
        return actions;
    }

    private boolean takeLeaseEvent(KeyEvent event, List<KeyAction> actions, long nowNanos) {
        if (event instanceof KeyEvent.LeaseRenewed renewed) {
            validUntilNanos = renewed.validUntilNanos();
            isInDoubt = false;
            if (!isLeaseHeld) {
                lead(actions, nowNanos);
            } else if (!isLeading) {
                resume(actions);
            }
        } else if (event instanceof KeyEvent.LeaseInDoubt) {
            if (isLeading && !isInDoubt) {
                isInDoubt = true;
                keysByService.values().forEach(keys -> keys.calls().renewAllNow(nowNanos));
            }
        } else if (event instanceof KeyEvent.LeaseLost) {
            isLeading = false;
            isLeaseHeld = false;
        } else {
            return false;
        }
        return true;
    }

    /** The lease never ended, this router only heard late of its renewal: nobody else can have changed anything. */
    private void resume(List<KeyAction> actions) {
        isLeading = true;
        actions.add(new KeyAction.Report("keys-resumed", "the renewal was heard of late"));
    }

    private void lead(List<KeyAction> actions, long nowNanos) {
        isLeaseHeld = true;
        isLeading = true;
        owners.start(nowNanos);
        keysByService.forEach((service, keys) -> {
            keys.restart(nowNanos);
            actions.add(new KeyAction.ReadMap(service));
        });
        actions.add(new KeyAction.Report("keys-controlled", "services=" + keysByService.keySet()));
    }

    private boolean takeMapEvent(KeyEvent event) {
        if (event instanceof KeyEvent.MapRead read) {
            keys(read.map().service()).read(read.map(), read.revision());
        } else if (event instanceof KeyEvent.MapWritten written) {
            keys(written.map().service()).written(written.map(), written.revision());
        } else if (event instanceof KeyEvent.MapAbsent absent) {
            keys(absent.service()).absent();
        } else if (event instanceof KeyEvent.MapWriteFailed failed) {
            keys(failed.service()).writeFailed();
        } else {
            return false;
        }
        return true;
    }

    private void takeOther(KeyEvent event, long nowNanos) {
        Collection<ServiceKeys> all = keysByService.values();
        if (event instanceof KeyEvent.FleetChanged changed) {
            roster.learn(changed.change(), nowNanos);
        } else if (event instanceof KeyEvent.LoadReported reported) {
            keys(reported.load().service()).add(reported.load(), nowNanos);
        } else if (event instanceof KeyEvent.GrantTaken taken) {
            all.forEach(keys -> keys.calls().granted(taken.callId()));
        } else if (event instanceof KeyEvent.GrantRefused refused) {
            all.forEach(keys -> keys.calls().refused(refused.callId()));
        } else if (event instanceof KeyEvent.ServerUnproved unproved) {
            all.forEach(keys -> keys.calls().unproved(unproved.callId(), nowNanos));
        } else if (event instanceof KeyEvent.CallUnanswered unanswered) {
            all.forEach(keys -> keys.calls().unanswered(unanswered.callId(), unanswered.wasSent(), nowNanos));
        } else if (event instanceof KeyEvent.OwnerGone gone) {
            all.forEach(keys -> keys.calls().gone(gone.callId(), nowNanos));
        } else if (event instanceof KeyEvent.Released released) {
            all.forEach(keys -> keys.calls().released(released.callId(), released.handover()));
        }
    }

    private ServiceKeys keys(String service) {
        return keysByService.computeIfAbsent(service, name -> new ServiceKeys(name, roster, owners, callNumbers));
    }

    private void step(List<KeyAction> actions, long nowNanos) {
        if (isLeading && validUntilNanos - nowNanos <= 0) {
            isLeading = false;
            actions.add(new KeyAction.Report("keys-lease-ended", "not renewed in time"));
        }
        if (!isLeading) {
            nextStepNanos = Long.MAX_VALUE;
            return;
        }
        for (String service : roster.shardedServices()) {
            if (keys(service).isUnread()) {
                keys(service).restart(nowNanos);
                actions.add(new KeyAction.ReadMap(service));
            }
        }
        long holdMillis = isInDoubt ? settings.holdMaxMillis() : HOLD_MILLIS;
        keysByService.values().forEach(keys -> keys.step(holdMillis, actions, nowNanos));
        nextStepNanos = nowNanos + STEP_MILLIS * 1_000_000L;
    }

    @Override
    public long nextDueNanos() {
        return nextStepNanos;
    }
}
