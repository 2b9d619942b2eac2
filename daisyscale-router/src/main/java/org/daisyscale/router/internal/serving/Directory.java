package org.daisyscale.router.internal.serving;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.json.Json;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.FleetDecoder;

/**
 * Turns items of the store into events, for the request path and for the control of keys. Each of its listeners is
 * used by one thread.
 */
final class Directory {
    private final FleetDecoder decoder;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Readiness readiness;

    Directory(
            FleetDecoder decoder,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents,
            Readiness readiness) {
        this.decoder = decoder;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
        this.readiness = readiness;
    }

    /** The routers told of last are all that are registered. */
    void routersCurrent() {
        servingEvents.accept(new ServingEvent.RoutersConfirmed());
    }

    private void tellBoth(ServingEvent event) {
        servingEvents.accept(event);
        keyEvents.accept(new KeyEvent.FleetChanged(event));
    }

    /** Listens to what servers write. */
    FleetWatchDuty.Listener servers() {
        return new FleetWatchDuty.Listener() {
            @Override
            public void written(Item item) {
                decoder.server(item).ifPresentOrElse(server -> seen(server, item), () -> removed(item.key()));
            }

            private void seen(BackendServer server, Item item) {
                EventLog.info("server-seen", server + " revision=" + item.revision());
                tellBoth(new ServingEvent.ServerChanged(server));
            }

            @Override
            public void removed(String key) {
                EventLog.info("server-gone", "server=" + decoder.serverId(key));
                tellBoth(new ServingEvent.ServerRemoved(decoder.serverId(key)));
            }

            @Override
            public void listed() {
                readiness.serversKnown();
            }
        };
    }

    /** Takes what operators write. */
    OperatorBook operators() {
        return new OperatorBook(decoder, this::tellBoth, readiness);
    }

    /** Listens to what routers write. */
    FleetWatchDuty.Listener routers(String ownId, LeaseDuty lease, ControllerLink controller) {
        Set<String> routerIds = new HashSet<>(Set.of(ownId));
        return new FleetWatchDuty.Listener() {
            private boolean isControlled;
            private boolean hasSecret;

            @Override
            public void written(Item item) {
                if (item.key().startsWith(StoreKeys.ROUTERS)) {
                    routerIds.add(item.key().substring(StoreKeys.ROUTERS.length()));
                    controller.routerSeen(Json.read(item.value(), RouterEntry.class));
                    tellRouters();
                } else if (item.key().equals(StoreKeys.CONTROLLER)) {
                    isControlled = true;
                    controller.follow(Json.read(item.value(), RouterEntry.class));
                } else if (item.key().equals(StoreKeys.PEER_SECRET)) {
                    hasSecret = true;
                    controller.secretKnown(Json.read(item.value(), String.class));
                }
                lease.seen(isControlled, !hasSecret);
            }

            @Override
            public void removed(String key) {
                if (key.startsWith(StoreKeys.ROUTERS)) {
                    String routerId = key.substring(StoreKeys.ROUTERS.length());
                    routerIds.remove(routerId);
                    controller.routerGone(routerId);
                    routerIds.add(ownId);
                    tellRouters();
                } else if (key.equals(StoreKeys.CONTROLLER)) {
                    isControlled = false;
                    lease.seen(false, !hasSecret);
                }
            }

            private void tellRouters() {
                EventLog.info("routers-seen", "count=" + routerIds.size() + " routers=" + routerIds);
                servingEvents.accept(new ServingEvent.RoutersChanged(routerIds));
            }

            @Override
            public void listed() {
                lease.seen(isControlled, !hasSecret);
                readiness.routersKnown();
            }
        };
    }
}
