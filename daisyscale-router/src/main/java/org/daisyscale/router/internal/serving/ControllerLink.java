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
import org.daisyscale.core.platform.PrefixChange;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.KeyMapChange;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.log.EventReporter;
import org.daisyscale.router.internal.peer.PeerException;
import org.daisyscale.router.internal.peer.PeerNetwork;
import org.daisyscale.router.internal.peer.PeerSecret;
import org.daisyscale.router.internal.peer.PeerSettings;
import org.daisyscale.router.internal.ring.ArrayRing;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * Connects each router with the controller of the keys: routers send their key loads to the controller, and the
 * controller sends them the key maps and what it reads in the store. Messages without a connection are dropped: the
 * next load report repeats the content, the key maps are sent when a connection opens, and a router that misses a
 * change of the store reads it itself. Thread-safe.
 */
final class ControllerLink implements AutoCloseable {
    private static final int RING_CAPACITY = 256;
    /** Capacity of the rings of changes; a router that misses one reads the store instead. */
    private static final int CHANGE_RING_CAPACITY = 64;

    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final String routerId;
    private final Address address;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final Ring<ControllerUpdate> operatorUpdates;
    private final EventReporter log;
    private final PublishedUpdateLog publishedUpdates;
    private final Ring<Event> peerEvents = new ArrayRing<>("peer-events", RING_CAPACITY);
    private final List<ConfirmedWatchGuard> watchGuards = new ArrayList<>();
    private final Map<String, RouterEntry> routerById = new HashMap<>();
    /** The newest key maps that {@link #mapPublisher} published; changes of another router don't apply to them. */
    private final Map<String, KeyMap> mapByService = new HashMap<>();

    private final Map<String, Ring<PrefixChange>> changesByPrefix = new HashMap<>();
    private final Set<String> connectedPeers = new HashSet<>();
    private volatile PeerNetwork network;
    private DutyThread reader;
    private volatile RouterEntry controller;
    private OperatorUpdate lastUpdate;
    private String mapPublisher = "";

    ControllerLink(
            String routerId,
            Address address,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents,
            Ring<ControllerUpdate> operatorUpdates,
            EventReporter log) {
        this.routerId = routerId;
        this.address = address;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
        this.operatorUpdates = operatorUpdates;
        this.log = log;
        this.publishedUpdates = new PublishedUpdateLog(log);
    }

    /** Adds a guard that receives the progress of the controller. */
    synchronized void add(ConfirmedWatchGuard guard) {
        watchGuards.add(guard);
    }

    /** Sends to all routers how far the controller has read the store; does nothing on other routers. */
    synchronized void publish(PeerMessage.StoreProgress progress) {
        if (isController()) {
            connectedPeers.forEach(peer -> send(peer, progress));
        }
    }

    /** Sends to all routers what changed under a prefix of the store; does nothing on other routers. */
    synchronized void publish(PrefixChange change) {
        if (isController()) {
            PeerMessage message = new PeerMessage.PrefixChanged(change);
            connectedPeers.forEach(peer -> send(peer, message));
        }
    }

    /** Returns the ring of what the controller reports about {@code prefix}. Must be called before any report. */
    synchronized Ring<PrefixChange> changesOf(String prefix) {
        return changesByPrefix.computeIfAbsent(
                prefix, name -> new ArrayRing<>("changes-" + name, CHANGE_RING_CAPACITY));
    }

    /**
     * Sends to all routers what operators wrote, once per update; does nothing on other routers than the controller.
     */
    synchronized void publish(OperatorUpdate update) {
        if (!isController()) {
            publishedUpdates.recordNotController(update);
        } else if (!update.equals(lastUpdate)) {
            lastUpdate = update;
            connectedPeers.forEach(peer -> send(peer, update));
            publishedUpdates.recordSent(update, connectedPeers.size());
        }
    }

    /** Starts the peer network with the shared secret, unless it runs already. */
    synchronized void startNetwork(String secret) {
        if (network != null) {
            return;
        }
        try {
            PeerCodec codec = new PeerCodec(text -> {
                throw new IllegalArgumentException("peers do not exchange documents");
            });
            PeerSettings settings = PeerSettings.defaults(routerId, address.host(), address.port());
            network = PeerNetwork.start(settings, PeerSecret.of(secret), codec, peerEvents);
            reader = DutyThread.start("peer-events", this::pollPeerEvents);
            updateWantedPeers();
        } catch (PeerException e) {
            EventLog.warn("peers-unavailable", "key maps are read from the store only", e);
        }
    }

    /** Records {@code newController} as the controller of the keys. */
    synchronized void setController(RouterEntry newController) {
        log.report("controller-seen", "controller=" + newController);
        controller = newController;
        mapByService.clear();
        lastUpdate = null;
        updateWantedPeers();
    }

    /** Adds a router that has registered itself. */
    synchronized void addRouter(RouterEntry router) {
        routerById.put(router.routerId(), router);
        updateWantedPeers();
    }

    /** Removes a router that is no longer registered. */
    synchronized void removeRouter(String removedId) {
        RouterEntry removed = routerById.remove(removedId);
        if (removed != null && network != null) {
            network.updatePeer(new Action.KnowPeer(removedId, removed.host(), 0));
        }
    }

    /**
     * Tells the peer network whom to connect to: the controller connects to all routers, every other router only to the
     * controller.
     */
    private void updateWantedPeers() {
        if (network == null || controller == null) {
            return;
        }
        for (RouterEntry router : routerById.values()) {
            boolean isWanted = isController() || router.routerId().equals(controller.routerId());
            network.updatePeer(new Action.KnowPeer(router.routerId(), router.host(), isWanted ? router.port() : 0));
        }
        network.updatePeer(new Action.KnowPeer(controller.routerId(), controller.host(), controller.port()));
    }

    /** Returns whether this router controls the keys, as far as it knows. */
    synchronized boolean isController() {
        return isControlledBy(routerId);
    }

    /** Returns whether this router receives each change of the key maps, as the controller or from it. */
    synchronized boolean isReceivingKeyMaps() {
        return controller != null && (isController() || connectedPeers.contains(controller.routerId()));
    }

    /**
     * Sends {@code load} to the controller. Takes no lock: a thread that holds the lock may be waiting for room in the
     * ring of the decisions, whose thread calls this method.
     */
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

    /**
     * Tells all other routers {@code news}, by way of the controller. Takes no lock, see {@link #report}; news are
     * dropped when there is no room or no connection.
     */
    void share(FleetNews news) {
        keyEvents.accept(new KeyEvent.FleetChanged(new ServingEvent.NewsReceived(news)));
        RouterEntry relay = controller;
        PeerNetwork link = network;
        if (relay == null || link == null || !(news instanceof PeerMessage message)) {
            return;
        }
        if (relay.routerId().equals(routerId)) {
            peerEvents.offer(new Event.PeerMessageReceived(routerId, message));
        } else {
            link.send(new Action.SendPeer(relay.routerId(), message));
        }
    }

    /** Handles news of the router {@code from}, which may be this one; the controller passes them on. */
    private void handleNews(String from, FleetNews news, PeerMessage message) {
        if (!from.equals(routerId)) {
            servingEvents.accept(new ServingEvent.NewsReceived(news));
            keyEvents.accept(new KeyEvent.FleetChanged(new ServingEvent.NewsReceived(news)));
        }
        if (isController()) {
            connectedPeers.stream().filter(peer -> !peer.equals(from)).forEach(peer -> send(peer, message));
        }
    }

    /** Sends {@code map} to all routers, including this one; to routers that have the last one, only what changed. */
    synchronized void publish(KeyMap map) {
        KeyMap last = mapsOf(routerId).put(map.service(), map);
        servingEvents.accept(new ServingEvent.KeyMapChanged(map));
        PeerMessage update = last == null
                ? new PeerMessage.KeyMapUpdate(map)
                : new PeerMessage.KeyMapChanged(KeyMapChange.between(last, map));
        connectedPeers.forEach(peer -> send(peer, update));
    }

    private void send(String peer, PeerMessage message) {
        network.send(new Action.SendPeer(peer, message));
    }

    private void pollPeerEvents() throws InterruptedException {
        peerEvents.poll(MAX_WAIT).ifPresent(this::handle);
    }

    private synchronized void handle(Event event) {
        if (event instanceof Event.PeerConnected up) {
            connectedPeers.add(up.peer());
            OperatorUpdate update = isController() ? lastUpdate : null;
            log.report("peer-connected", "peer=" + up.peer() + sentDetail(update));
            if (update != null) {
                send(up.peer(), update);
            }
            if (isController()) {
                mapsOf(routerId).values().forEach(map -> send(up.peer(), new PeerMessage.KeyMapUpdate(map)));
            }
        } else if (event instanceof Event.PeerDisconnected down) {
            connectedPeers.remove(down.peer());
            log.report("peer-lost", "peer=" + down.peer());
        } else if (event instanceof Event.PeerMessageReceived received) {
            handle(received.from(), received.message());
        }
    }

    private static String sentDetail(OperatorUpdate update) {
        return update == null
                ? ""
                : " sentVersion=%d sentRevision=%d".formatted(update.table().version(), update.revision());
    }

    private void handle(String from, PeerMessage message) {
        if (message instanceof PeerMessage.KeyLoadReport report) {
            keyEvents.accept(new KeyEvent.LoadReported(report.load()));
        } else if (message instanceof FleetNews news) {
            handleNews(from, news, message);
        } else if (message instanceof PeerMessage.KeyMapUpdate update) {
            mapsOf(from).put(update.map().service(), update.map());
            servingEvents.accept(new ServingEvent.KeyMapChanged(update.map()));
        } else if (message instanceof PeerMessage.KeyMapChanged changed) {
            apply(from, changed.change());
        } else if (message instanceof PeerMessage.KeyMapRequest request && mapPublisher.equals(routerId)) {
            Optional.ofNullable(mapByService.get(request.service()))
                    .ifPresent(map -> send(from, new PeerMessage.KeyMapUpdate(map)));
        } else if (isControlledBy(from)) {
            handleProgress(from, message);
        }
    }

    private void handleProgress(String from, PeerMessage message) {
        if (message instanceof PeerMessage.StoreProgress progress) {
            watchGuards.forEach(guard -> guard.confirm(progress));
        } else if (message instanceof OperatorUpdate update) {
            offer(operatorUpdates, new ControllerUpdate(from, update));
        } else if (message instanceof PeerMessage.PrefixChanged changed) {
            Optional.ofNullable(changesByPrefix.get(changed.change().prefix()))
                    .ifPresent(ring -> offer(ring, changed.change()));
        }
    }

    /** Returns the newest key maps that {@code publisher} published, by service. */
    private Map<String, KeyMap> mapsOf(String publisher) {
        if (!mapPublisher.equals(publisher)) {
            mapPublisher = publisher;
            mapByService.clear();
        }
        return mapByService;
    }

    private void apply(String from, KeyMapChange change) {
        KeyMap known = mapsOf(from).get(change.service());
        if (known != null && change.appliesTo(known)) {
            KeyMap next = change.applyTo(known);
            mapByService.put(change.service(), next);
            servingEvents.accept(new ServingEvent.KeyMapChanged(next));
        } else if (known == null || change.version() >= known.version()) {
            send(from, new PeerMessage.KeyMapRequest(change.service()));
        }
    }

    /**
     * Queues {@code update}; when the ring is full, drops it. This router is then behind the controller and reads the
     * store instead.
     */
    private <T> void offer(Ring<T> ring, T update) {
        if (!ring.offer(update)) {
            log.report("controller-update-dropped", "ring=" + ring.name());
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
