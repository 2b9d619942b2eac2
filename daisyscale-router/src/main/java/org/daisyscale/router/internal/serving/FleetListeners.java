package org.daisyscale.router.internal.serving;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.FleetDecoder;

/**
 * Creates listeners that turn items of the store into events for the request path and for the control of the keys. Each
 * listener is confined to one thread.
 */
final class FleetListeners {
    private final FleetDecoder decoder;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Readiness readiness;

    FleetListeners(
            FleetDecoder decoder,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents,
            Readiness readiness) {
        this.decoder = decoder;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
        this.readiness = readiness;
    }

    /** Reports that the routers published last are all that were registered at {@code nanos}. */
    void confirmRouters(long nanos) {
        servingEvents.accept(new ServingEvent.RoutersConfirmed(nanos));
    }

    private void publishToBoth(ServingEvent event) {
        servingEvents.accept(event);
        keyEvents.accept(new KeyEvent.FleetChanged(event));
    }

    /** Creates a listener for the items that servers write. */
    ViewListener createServerListener() {
        return new ViewListener() {
            @Override
            public void onWritten(Item item, long maxAgeMillis) {
                decoder.server(item)
                        .ifPresentOrElse(
                                server -> publishServer(server, item, maxAgeMillis), () -> onRemoved(item.key()));
            }

            private void publishServer(BackendServer server, Item item, long maxAgeMillis) {
                EventLog.info("server-seen", server + " revision=" + item.revision() + " maxAgeMillis=" + maxAgeMillis);
                publishToBoth(new ServingEvent.ServerChanged(server, maxAgeMillis));
            }

            @Override
            public void onRemoved(String key) {
                EventLog.info("server-gone", "server=" + decoder.serverId(key));
                publishToBoth(new ServingEvent.ServerRemoved(decoder.serverId(key)));
            }

            @Override
            public void onComplete() {
                readiness.markServersKnown();
            }
        };
    }

    /** Creates the state that tracks what operators write. */
    OperatorState createOperatorState() {
        return new OperatorState(decoder, this::publishToBoth, readiness);
    }

    /** Creates a listener for the items that routers write. */
    ViewListener createRouterListener(String ownId, LeaseDuty lease, ControllerLink controller) {
        Set<String> routerIds = new HashSet<>(Set.of(ownId));
        Map<String, Double> coresByRouter = new HashMap<>();
        return new ViewListener() {
            private boolean isControlled;
            private boolean hasSecret;

            @Override
            public void onWritten(Item item, long maxAgeMillis) {
                if (item.key().startsWith(StoreKeys.ROUTERS)) {
                    routerIds.add(item.key().substring(StoreKeys.ROUTERS.length()));
                    RouterEntry entry = Json.read(item.value(), RouterEntry.class);
                    controller.addRouter(entry);
                    coresByRouter.put(entry.routerId(), entry.cores());
                    publishRouters();
                } else if (item.key().equals(StoreKeys.CONTROLLER)) {
                    isControlled = true;
                    recordController(Json.read(item.value(), RouterEntry.class), lease, controller);
                } else if (item.key().equals(StoreKeys.PEER_SECRET)) {
                    hasSecret = true;
                    recordSecret(Json.read(item.value(), String.class), lease, controller);
                }
                lease.recordStoreState(isControlled, !hasSecret);
            }

            @Override
            public void onRemoved(String key) {
                if (key.startsWith(StoreKeys.ROUTERS)) {
                    String routerId = key.substring(StoreKeys.ROUTERS.length());
                    routerIds.remove(routerId);
                    coresByRouter.remove(routerId);
                    controller.removeRouter(routerId);
                    routerIds.add(ownId);
                    publishRouters();
                } else if (key.equals(StoreKeys.CONTROLLER)) {
                    isControlled = false;
                    lease.recordStoreState(false, !hasSecret);
                }
            }

            private void publishRouters() {
                EventLog.info("routers-seen", "count=" + routerIds.size() + " routers=" + routerIds);
                servingEvents.accept(new ServingEvent.RoutersChanged(routerIds));
                lease.recordMostCores(mostCores(coresByRouter));
            }

            @Override
            public void onComplete() {
                lease.recordStoreState(isControlled, !hasSecret);
                readiness.markRoutersKnown();
            }
        };
    }

    private static void recordController(RouterEntry entry, LeaseDuty lease, ControllerLink link) {
        lease.recordController(entry);
        link.setController(entry);
    }

    private static void recordSecret(String secret, LeaseDuty lease, ControllerLink link) {
        lease.recordSecret(secret);
        link.startNetwork(secret);
    }

    private static double mostCores(Map<String, Double> coresByRouter) {
        return coresByRouter.values().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(0);
    }
}
