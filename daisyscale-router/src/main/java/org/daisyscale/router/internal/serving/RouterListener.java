package org.daisyscale.router.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.LossRecord;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.log.EventLog;

/** Turns the items that routers write into what this router does. Not thread-safe; confined to one thread. */
final class RouterListener implements ViewListener {
    private final String ownId;
    private final LeaseDuty lease;
    private final ControllerLink controller;
    private final Consumer<ServingEvent> servingEvents;
    private final Readiness readiness;
    private final LossDuty losses;
    private final Set<String> routerIds = new HashSet<>();
    private final Map<String, Double> coresByRouter = new HashMap<>();
    private boolean isControlled;
    private boolean hasSecret;
    private String controllerId = "";

    RouterListener(
            String ownId,
            LeaseDuty lease,
            ControllerLink controller,
            Consumer<ServingEvent> servingEvents,
            Readiness readiness,
            LossDuty losses) {
        this.ownId = ownId;
        this.lease = lease;
        this.controller = controller;
        this.servingEvents = servingEvents;
        this.readiness = readiness;
        this.losses = losses;
        routerIds.add(ownId);
    }

    @Override
    public void onWritten(Item item, EventTime writtenAt) {
        if (item.key().startsWith(StoreKeys.LOSSES)) {
            readLosses(item);
            return;
        }
        if (item.key().startsWith(StoreKeys.ROUTERS)) {
            addRouter(item);
        } else if (item.key().equals(StoreKeys.CONTROLLER)) {
            RouterEntry entry = Json.read(item.value(), RouterEntry.class);
            isControlled = true;
            controllerId = entry.routerId();
            lease.recordController(entry);
            controller.setController(entry);
        } else if (item.key().equals(StoreKeys.PEER_SECRET)) {
            hasSecret = true;
            String secret = Json.read(item.value(), String.class);
            lease.recordSecret(secret);
            controller.startNetwork(secret);
        }
        lease.recordStoreState(isControlled, !hasSecret);
    }

    private void readLosses(Item item) {
        losses.recordRevision(item);
        LossRecord read = StoredLosses.read(item.value()).toRecord(System.currentTimeMillis());
        servingEvents.accept(new ServingEvent.LossesRead(read));
    }

    private void addRouter(Item item) {
        routerIds.add(item.key().substring(StoreKeys.ROUTERS.length()));
        RouterEntry entry = Json.read(item.value(), RouterEntry.class);
        controller.addRouter(entry);
        coresByRouter.put(entry.routerId(), entry.cores());
        publishRouters();
    }

    @Override
    public void onRemoved(String key) {
        losses.recordRemoved(key);
        if (key.startsWith(StoreKeys.ROUTERS)) {
            String routerId = key.substring(StoreKeys.ROUTERS.length());
            routerIds.remove(routerId);
            coresByRouter.remove(routerId);
            controller.removeRouter(routerId);
            routerIds.add(ownId);
            publishRouters();
        } else if (key.equals(StoreKeys.CONTROLLER)) {
            isControlled = false;
            recordRank();
            lease.recordStoreState(false, !hasSecret);
        }
    }

    private void publishRouters() {
        EventLog.info("routers-seen", "count=" + routerIds.size() + " routers=" + routerIds);
        servingEvents.accept(new ServingEvent.RoutersChanged(routerIds));
        lease.recordMostCores(mostCores());
        recordRank();
    }

    private double mostCores() {
        return coresByRouter.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }

    private void recordRank() {
        lease.recordCandidateRank(CandidateRank.of(ownId, coresByRouter, controllerId));
    }

    @Override
    public void onComplete() {
        lease.recordStoreState(isControlled, !hasSecret);
        readiness.markRoutersKnown();
    }
}
