package org.daisyscale.router.internal.serving;

import java.util.ArrayList;
import java.util.List;
import org.daisyscale.core.keys.KeyAction;
import org.daisyscale.core.keys.KeyController;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeySettings;
import org.daisyscale.core.platform.EraRevision;

/** A router of {@link RestoredStoreModel}: its control of the keys, and its calls to the store and the servers. */
final class ModelController {
    private static final long HOLD_MAX_MILLIS = 10_000;
    private static final long RENEW_MILLIS = 400;
    private static final long TIME_TO_LIVE_MILLIS = 1_500;
    private static final long VALID_MILLIS = 1_300;
    private static final long CALL_TIMEOUT_MILLIS = 500;
    private static final int MAX_TRANSIT_MILLIS = 150;

    private final RestoredStoreModel model;
    private final ModelKeyStore store;
    private final String routerId;
    private final KeyController controller = KeyController.create(new KeySettings(HOLD_MAX_MILLIS));
    private final List<KeyEvent> events = new ArrayList<>();
    private final ControlClaim claim;
    private boolean isCutOff;
    private long knownEra;
    private long lease;
    private long leaseCallNanos;

    ModelController(RestoredStoreModel model, ModelKeyStore store, String routerId) {
        this.model = model;
        this.store = store;
        this.routerId = routerId;
        this.claim = new ControlClaim(
                new SuspensionDetector(() -> 0, () -> 0), model::nowNanos, events::add, model.random());
    }

    void setCutOff(boolean newIsCutOff) {
        isCutOff = newIsCutOff;
    }

    void handle(KeyEvent event) {
        events.add(event);
    }

    void step() {
        if (model.nowNanos() - leaseCallNanos >= RENEW_MILLIS * RestoredStoreModel.MILLI) {
            leaseCallNanos = model.nowNanos();
            callLease();
        }
        events.add(new KeyEvent.TimePassed());
        List<KeyEvent> batch = List.copyOf(events);
        events.clear();
        controller.handle(batch, model.nowNanos()).forEach(this::run);
    }

    private boolean isStoreReached() {
        return !isCutOff && !model.isStoreDown();
    }

    private void callLease() {
        if (isCutOff) {
            claim.recordUnanswered();
        }
        if (!isStoreReached()) {
            if (lease != 0) {
                events.add(new KeyEvent.LeaseInDoubt());
            }
            return;
        }
        noticeEra();
        if (claim.takeRestore()) {
            lease = 0;
        }
        if (lease == 0) {
            takeControl();
        } else {
            renew();
        }
    }

    private void noticeEra() {
        if (store.era() > knownEra) {
            knownEra = store.era();
            if (!model.has(RestoredStoreModel.Fault.TRUSTED_LEASE)) {
                claim.recordRestore(knownEra);
            }
        }
    }

    private void renew() {
        claim.startRenewal();
        if (store.renew(lease, TIME_TO_LIVE_MILLIS * RestoredStoreModel.MILLI)) {
            claim.recordRenewal(model.nowNanos(), VALID_MILLIS, lease, store.era());
        } else {
            lease = 0;
            claim.recordLost();
        }
    }

    private void takeControl() {
        boolean isTaken = store.controller()
                .filter(entry -> !claim.isDue() || entry.era() >= store.era())
                .isPresent();
        boolean mayTake = claim.isDue() || !claim.isPending();
        if (!isTaken && mayTake) {
            claim.startRenewal();
            lease = store.takeControl(routerId, TIME_TO_LIVE_MILLIS * RestoredStoreModel.MILLI);
            claim.recordRenewal(model.nowNanos(), VALID_MILLIS, lease, store.era());
        }
        if (claim.isDue()) {
            claim.end();
        }
    }

    private void run(KeyAction action) {
        if (action instanceof KeyAction.ReadMap) {
            model.afterMillis(transitMillis(), this::readMap);
        } else if (action instanceof KeyAction.WriteMap write) {
            model.afterMillis(transitMillis(), () -> writeMap(write));
        } else if (action instanceof KeyAction.SendGrant grant) {
            send(grant);
        } else if (action instanceof KeyAction.SendRelease release) {
            send(release);
        } else if (action instanceof KeyAction.PublishMap publish) {
            model.recordPublished(publish.map());
        }
    }

    private int transitMillis() {
        return 1 + model.random().nextInt(MAX_TRANSIT_MILLIS);
    }

    private boolean isLost() {
        return model.isDisturbed() && model.random().nextInt(30) == 0;
    }

    private void readMap() {
        if (!isStoreReached()) {
            model.afterMillis(MAX_TRANSIT_MILLIS, this::readMap);
            return;
        }
        noticeEra();
        KeyEvent read = store.map()
                .<KeyEvent>map(found -> new KeyEvent.MapRead(found.map(), packed(found.revision())))
                .orElseGet(() -> new KeyEvent.MapAbsent("stock"));
        model.afterMillis(transitMillis(), () -> events.add(read));
    }

    private long packed(long revision) {
        return new EraRevision(store.era(), revision).packed();
    }

    /** Writes as {@link StoreClient} does: not with a condition of an older era, and without proof across a restore. */
    private void writeMap(KeyAction.WriteMap write) {
        EraRevision expected = EraRevision.unpack(write.expectedRevision());
        boolean isOfEra = expected.revision() == 0 || expected.era() == knownEra;
        long eraBefore = knownEra;
        long revision = isStoreReached() && isOfEra ? store.write(write.map(), expected.revision()) : 0;
        if (isStoreReached()) {
            noticeEra();
        }
        if (revision == 0 || eraBefore != store.era() || isLost()) {
            events.add(new KeyEvent.MapWriteFailed("stock"));
            readMap();
        } else {
            KeyEvent written = new KeyEvent.MapWritten(write.map(), packed(revision));
            model.afterMillis(transitMillis(), () -> events.add(written));
        }
    }

    private void send(KeyAction.SendGrant grant) {
        long fence = model.sentFence(grant.fence(), grant.isRenewal());
        boolean isArriving = !isLost();
        boolean isAnswered = isArriving && !isLost();
        if (isArriving) {
            model.afterMillis(transitMillis(), () -> arrive(grant, fence, isAnswered));
        }
        if (!isAnswered) {
            model.afterMillis(CALL_TIMEOUT_MILLIS, () -> events.add(new KeyEvent.CallUnanswered(grant.callId(), true)));
        }
    }

    private void arrive(KeyAction.SendGrant grant, long fence, boolean isAnswered) {
        long untilNanos = model.nowNanos() + grant.holdMillis() * RestoredStoreModel.MILLI;
        boolean isAccepted =
                model.serverOf(grant.owner().serverId()).grant(grant.firstKey(), grant.lastKey(), fence, untilNanos);
        if (isAnswered) {
            KeyEvent end = isAccepted
                    ? new KeyEvent.GrantAccepted(grant.callId(), true)
                    : new KeyEvent.GrantRejected(grant.callId());
            model.afterMillis(transitMillis(), () -> events.add(end));
        }
    }

    private void send(KeyAction.SendRelease release) {
        if (isLost()) {
            model.afterMillis(
                    CALL_TIMEOUT_MILLIS, () -> events.add(new KeyEvent.CallUnanswered(release.callId(), true)));
            return;
        }
        model.afterMillis(transitMillis(), () -> {
            model.serverOf(release.owner().serverId()).release(release.firstKey(), release.lastKey());
            model.afterMillis(transitMillis(), () -> events.add(new KeyEvent.Released(release.callId(), "")));
        });
    }
}
