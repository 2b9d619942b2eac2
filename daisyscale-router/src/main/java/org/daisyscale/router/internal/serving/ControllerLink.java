package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.peer.PeerException;
import org.daisyscale.router.internal.peer.PeerNetwork;
import org.daisyscale.router.internal.peer.PeerSecret;
import org.daisyscale.router.internal.peer.PeerSettings;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * Connects each router with the one that controls the keys: loads go there, key maps come back. What finds no
 * connection is dropped: the next report says the same, and the maps lie in the store. Safe for use by several threads.
 */
final class ControllerLink implements AutoCloseable {
    private static final int RING_CAPACITY = 256;
    private static final Duration LONGEST_WAIT = Duration.ofSeconds(1);

    private final String routerId;
    private final Address address;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Ring<OperatorUpdate> operatorUpdates;
    private final Ring<Event> peerEvents = new ArrayRing<>("peer-events", RING_CAPACITY);
    private final List<FollowedWatch> followed = new ArrayList<>();
    private final Map<String, RouterEntry> routerById = new HashMap<>();
    private final Map<String, PeerMessage.KeyMapUpdate> publishedByService = new HashMap<>();
    private final Set<String> connected = new HashSet<>();
    private volatile PeerNetwork network;
    private DutyThread reader;
    private volatile RouterEntry controller;
    private OperatorUpdate published;

    ControllerLink(
            String routerId,
            Address address,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents,
            Ring<OperatorUpdate> operatorUpdates) {
        this.routerId = routerId;
        this.address = address;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
        this.operatorUpdates = operatorUpdates;
    }

    /** {@code watch} hears of the controller's progress. */
    synchronized void add(FollowedWatch watch) {
        followed.add(watch);
    }

    /** The controller tells all routers how far it has read the store; other routers tell nobody. */
    synchronized void publish(PeerMessage.StoreProgress progress) {
        if (isController()) {
            connected.forEach(peer -> send(peer, progress));
        }
    }

    /** The controller tells all routers what operators wrote, once; other routers tell nobody. */
    synchronized void publish(OperatorUpdate update) {
        if (isController() && !update.equals(published)) {
            published = update;
            connected.forEach(peer -> send(peer, update));
        }
    }

    /** From now on peers can be spoken to. */
    synchronized void secretKnown(String secret) {
        if (network != null) {
            return;
        }
        try {
            PeerCodec codec = new PeerCodec(text -> {
                throw new IllegalArgumentException("no documents are exchanged here");
            });
            PeerSettings settings = PeerSettings.defaults(routerId, address.host(), address.port());
            network = PeerNetwork.start(settings, PeerSecret.of(secret), codec, peerEvents);
            reader = DutyThread.start("peer-events", this::readStep);
            dial();
        } catch (PeerException e) {
            EventLog.warn("peers-unavailable", "key maps are read from the store only", e);
        }
    }

    /** {@code newController} controls the keys. */
    synchronized void follow(RouterEntry newController) {
        EventLog.info("controller-seen", "controller=" + newController);
        controller = newController;
        publishedByService.clear();
        published = null;
        dial();
    }

    /** A router is registered. */
    synchronized void routerSeen(RouterEntry router) {
        routerById.put(router.routerId(), router);
        dial();
    }

    /** A router is no longer registered. */
    synchronized void routerGone(String goneId) {
        RouterEntry gone = routerById.remove(goneId);
        if (gone != null && network != null) {
            network.know(new Action.KnowPeer(goneId, gone.host(), 0));
        }
    }

    /** The controller is connected with all routers, every other router only with the controller. */
    private void dial() {
        if (network == null || controller == null) {
            return;
        }
        for (RouterEntry router : routerById.values()) {
            boolean isWanted = isController() || router.routerId().equals(controller.routerId());
            network.know(new Action.KnowPeer(router.routerId(), router.host(), isWanted ? router.port() : 0));
        }
        network.know(new Action.KnowPeer(controller.routerId(), controller.host(), controller.port()));
    }

    /** Whether this router controls the keys, as far as it knows. */
    synchronized boolean isController() {
        return isControlledBy(routerId);
    }

    /** Whether the controller tells this router of each change of the key maps. */
    synchronized boolean isFollowing() {
        return controller != null && (isController() || connected.contains(controller.routerId()));
    }

    /** Tells the controller of {@code load}. Takes no lock: those who hold it may wait for the decisions' ring. */
    void report(KeyLoad load) {
        RouterEntry receiver = controller;
        PeerNetwork link = network;
        if (receiver == null) {
            return;
        }
        if (receiver.routerId().equals(routerId)) {
            keyEvents.accept(new KeyEvent.LoadReported(load));
        } else if (link != null) {
            link.send(new Action.SendPeer(receiver.routerId(), new PeerMessage.KeyLoadReport(load)));
        }
    }

    /** Tells all routers of {@code map}, this one too. */
    synchronized void publish(KeyMap map) {
        PeerMessage.KeyMapUpdate update = new PeerMessage.KeyMapUpdate(map);
        publishedByService.put(map.service(), update);
        servingEvents.accept(new ServingEvent.KeyMapChanged(map));
        connected.forEach(peer -> send(peer, update));
    }

    private void send(String peer, PeerMessage message) {
        network.send(new Action.SendPeer(peer, message));
    }

    private void readStep() throws InterruptedException {
        peerEvents.poll(LONGEST_WAIT).ifPresent(this::take);
    }

    private synchronized void take(Event event) {
        if (event instanceof Event.PeerConnected up) {
            connected.add(up.peer());
            EventLog.info("peer-connected", "peer=" + up.peer());
            if (isController()) {
                Optional.ofNullable(published).ifPresent(update -> send(up.peer(), update));
                publishedByService.values().forEach(map -> send(up.peer(), map));
            }
        } else if (event instanceof Event.PeerDisconnected down) {
            connected.remove(down.peer());
            EventLog.info("peer-lost", "peer=" + down.peer());
        } else if (event instanceof Event.PeerMessageReceived received) {
            take(received.from(), received.message());
        }
    }

    private void take(String from, PeerMessage message) {
        if (message instanceof PeerMessage.KeyLoadReport report) {
            keyEvents.accept(new KeyEvent.LoadReported(report.load()));
        } else if (message instanceof PeerMessage.KeyMapUpdate update) {
            servingEvents.accept(new ServingEvent.KeyMapChanged(update.map()));
        } else if (message instanceof PeerMessage.StoreProgress progress && isControlledBy(from)) {
            followed.forEach(watch -> watch.confirm(progress));
        } else if (message instanceof OperatorUpdate update && isControlledBy(from)) {
            take(update);
        }
    }

    /** Without room for it the update is dropped: this router then lies behind the controller and reads the store. */
    private void take(OperatorUpdate update) {
        if (!operatorUpdates.offer(update)) {
            EventLog.info("operator-update-dropped", "revision=" + update.revision());
        }
    }

    private boolean isControlledBy(String peer) {
        return controller != null && controller.routerId().equals(peer);
    }

    @Override
    public synchronized void close() {
        if (network != null) {
            network.close();
            reader.close();
        }
    }
}
