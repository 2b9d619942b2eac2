package org.daisyscale.router.internal.serving;

import java.util.function.Consumer;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.ServingEvent;
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
            public void onWritten(Item item, EventTime writtenAt) {
                decoder.server(item)
                        .ifPresentOrElse(server -> publishServer(server, item, writtenAt), () -> onRemoved(item.key()));
            }

            private void publishServer(BackendServer server, Item item, EventTime writtenAt) {
                EventLog.info(
                        "server-seen",
                        server + " revision=" + item.revision() + " " + writtenAt.describe(System.nanoTime()));
                publishToBoth(new ServingEvent.ServerChanged(server, writtenAt));
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
    ViewListener createRouterListener(String ownId, LeaseDuty lease, ControllerLink controller, LossDuty losses) {
        return new RouterListener(ownId, lease, controller, servingEvents, readiness, losses);
    }
}
