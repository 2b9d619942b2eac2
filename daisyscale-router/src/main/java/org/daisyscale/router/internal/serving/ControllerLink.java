package org.daisyscale.router.internal.serving;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.daisyscale.codec.peer.PeerCodec;
import org.daisyscale.core.Action;
import org.daisyscale.core.Event;
import org.daisyscale.core.following.Teller;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.keys.KeyLoad;
import org.daisyscale.core.peer.PeerMessage;
import org.daisyscale.core.serving.FleetNews;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.KeyMapChange;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.duty.DutyThread;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.internal.following.FollowPeers;
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
 * change of the store says what it holds and is sent the difference. Thread-safe.
 */
final class ControllerLink implements FollowPeers, AutoCloseable {
    private static final int RING_CAPACITY = 256;
    private static final Duration MAX_WAIT = Duration.ofSeconds(1);

    private final String routerId;
    private final Address address;
    private final Consumer<ServingEvent> servingEvents;
    private final Consumer<KeyEvent> keyEvents;
    private final EventReporter log;
    private final Ring<Event> peerEvents = new ArrayRing<>("peer-events", RING_CAPACITY);
    private final KnownRouters routers = new KnownRouters();
    /** The key maps that this router published, also before it knew itself as the controller. */
    private final Map<String, KeyMap> publishedByService = new HashMap<>();
    /** The newest key maps of each other router, by service; a change applies only to a map of the same router. */
    private final Map<String, Map<String, KeyMap>> receivedByRouter = new HashMap<>();

    /** The events of the duties that follow the store, by prefix. */
    private final Map<String, Ring<FollowEvent>> inboxByPrefix = new ConcurrentHashMap<>();
    /** The connected routers, and the number of the connection to each. */
    private final Map<String, Long> connectionByPeer = new ConcurrentHashMap<>();

    private volatile PeerNetwork network;
    private DutyThread reader;
    private volatile RouterEntry controller;
    private volatile QuotaLink quotas;
    private long connectionCount;

    ControllerLink(
            String routerId,
            Address address,
            Consumer<ServingEvent> servingEvents,
            Consumer<KeyEvent> keyEvents,
            EventReporter log) {
        this.routerId = routerId;
        this.address = address;
        this.servingEvents = servingEvents;
        this.keyEvents = keyEvents;
        this.log = log;
    }

    /** Adds the ring that receives what other routers say about {@code prefix}; events that find it full are lost. */
    void follow(String prefix, Ring<FollowEvent> inbox) {
        inboxByPrefix.put(prefix, inbox);
    }

    /** Sets the link that receives what other routers say about allowances. */
    void followQuotas(QuotaLink newQuotas) {
        quotas = newQuotas;
    }

    private Optional<QuotaLink> quotas() {
        return Optional.ofNullable(quotas);
    }

    /** Returns the id of the controller, as far as this router knows. Takes no lock, see {@link #report}. */
    Optional<String> controllerId() {
        return Optional.ofNullable(controller).map(RouterEntry::routerId);
    }

    @Override
    public int broadcast(PeerMessage message) {
        if (!isController()) {
            return 0;
        }
        Set<String> peers = connectionByPeer.keySet();
        peers.forEach(peer -> send(peer, message));
        return peers.size();
    }

    @Override
    public void send(String routerId, PeerMessage message) {
        PeerNetwork link = network;
        if (link != null) {
            link.send(new Action.SendPeer(routerId, message));
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
        if (isController() && !newController.routerId().equals(routerId)) {
            publishedByService.clear();
        }
        if (!isControlledBy(newController.routerId())) {
            quotas().ifPresent(QuotaLink::handleControllerChanged);
        }
        controller = newController;
        receivedByRouter.keySet().retainAll(Set.of(newController.routerId()));
        updateWantedPeers();
    }

    /** Adds a router that has registered itself. */
    synchronized void addRouter(RouterEntry router) {
        routers.add(router);
        updateWantedPeers();
    }

    /** Records that a router is no longer registered; it is forgotten some time after its connection ended. */
    synchronized void removeRouter(String removedId) {
        routers.markUnregistered(removedId, System.nanoTime());
    }

    private synchronized void forgetExpiredRouters() {
        for (RouterEntry expired : routers.removeExpired(connectionByPeer::containsKey, System.nanoTime())) {
            network.updatePeer(new Action.KnowPeer(expired.routerId(), expired.host(), 0));
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
        for (RouterEntry router : routers.all()) {
            boolean isWanted = isController() || router.routerId().equals(controller.routerId());
            network.updatePeer(new Action.KnowPeer(router.routerId(), router.host(), isWanted ? router.port() : 0));
        }
        network.updatePeer(new Action.KnowPeer(controller.routerId(), controller.host(), controller.port()));
    }

    /** Returns whether this router controls the keys, as far as it knows. Takes no lock, see {@link #report}. */
    @Override
    public boolean isController() {
        return isControlledBy(routerId);
    }

    /** Returns whether this router receives each change of the key maps, as the controller or from it. */
    synchronized boolean isReceivingKeyMaps() {
        return controller != null && (isController() || connectionByPeer.containsKey(controller.routerId()));
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
            connectionByPeer.keySet().stream()
                    .filter(peer -> !peer.equals(from))
                    .forEach(peer -> send(peer, message));
        }
    }

    /** Sends {@code map} to all routers, including this one; to routers that have the last one, only what changed. */
    synchronized void publish(KeyMap map) {
        KeyMap last = publishedByService.put(map.service(), map);
        servingEvents.accept(new ServingEvent.KeyMapChanged(map));
        PeerMessage update = last == null
                ? new PeerMessage.KeyMapUpdate(map)
                : new PeerMessage.KeyMapChanged(KeyMapChange.between(last, map));
        connectionByPeer.keySet().forEach(peer -> send(peer, update));
    }

    private void pollPeerEvents() throws InterruptedException {
        peerEvents.poll(MAX_WAIT).ifPresent(this::handle);
        forgetExpiredRouters();
    }

    private synchronized void handle(Event event) {
        if (event instanceof Event.PeerConnected up) {
            connectionCount++;
            connectionByPeer.put(up.peer(), connectionCount);
            log.report("peer-connected", "peer=" + up.peer());
            quotas().ifPresent(link -> link.handleConnected(up.peer()));
            publishedByService.values().forEach(map -> send(up.peer(), new PeerMessage.KeyMapUpdate(map)));
        } else if (event instanceof Event.PeerDisconnected down) {
            connectionByPeer.remove(down.peer());
            receivedByRouter.remove(down.peer());
            log.report("peer-lost", "peer=" + down.peer());
            inboxByPrefix.keySet().forEach(prefix -> offer(prefix, new FollowEvent.FollowerLost(down.peer())));
        } else if (event instanceof Event.PeerMessageReceived received) {
            handle(received.from(), received.message());
        }
    }

    private void handle(String from, PeerMessage message) {
        if (message instanceof PeerMessage.KeyLoadReport report) {
            keyEvents.accept(new KeyEvent.LoadReported(report.load()));
        } else if (message instanceof FleetNews news) {
            handleNews(from, news, message);
        } else if (message instanceof PeerMessage.KeyMapUpdate update) {
            receivedFrom(from).put(update.map().service(), update.map());
            servingEvents.accept(new ServingEvent.KeyMapChanged(update.map()));
        } else if (message instanceof PeerMessage.KeyMapChanged changed) {
            apply(from, changed.change());
        } else if (message instanceof PeerMessage.KeyMapRequest request) {
            Optional.ofNullable(publishedByService.get(request.service()))
                    .ifPresent(map -> send(from, new PeerMessage.KeyMapUpdate(map)));
        } else {
            handleView(from, message);
            quotas().ifPresent(link -> link.handle(from, message));
        }
    }

    /** Passes on what another router says about a view; only the controller is believed to have just read the store. */
    private void handleView(String from, PeerMessage message) {
        if (message instanceof PeerMessage.ViewHeld held) {
            offer(held.prefix(), new FollowEvent.Held(from, held.version(), held.needsWhole()));
        } else if (message instanceof PeerMessage.ViewReport report && isControlledBy(from)) {
            Teller teller = new Teller(from, connectionByPeer.getOrDefault(from, 0L));
            offer(report.prefix(), new FollowEvent.Reported(teller, report.version(), report.ageMillis()));
        } else if (message instanceof PeerMessage.ViewUpdated updated && isControlledBy(from)) {
            offer(updated.update().prefix(), new FollowEvent.Updated(from, updated.update()));
        }
    }

    private Map<String, KeyMap> receivedFrom(String publisher) {
        return receivedByRouter.computeIfAbsent(publisher, id -> new HashMap<>());
    }

    private void apply(String from, KeyMapChange change) {
        KeyMap known = receivedFrom(from).get(change.service());
        if (known != null && change.appliesTo(known)) {
            KeyMap next = change.applyTo(known);
            receivedFrom(from).put(change.service(), next);
            servingEvents.accept(new ServingEvent.KeyMapChanged(next));
        } else if (known == null || change.version() >= known.version()) {
            send(from, new PeerMessage.KeyMapRequest(change.service()));
        }
    }

    /** Queues {@code event}; when the ring is full, drops it: what is missed is noticed and asked for later. */
    private void offer(String prefix, FollowEvent event) {
        Ring<FollowEvent> inbox = inboxByPrefix.get(prefix);
        if (inbox != null && !inbox.offer(event)) {
            log.report(
                    "view-event-dropped",
                    "prefix=" + prefix + " event=" + event.getClass().getSimpleName());
        }
    }

    private boolean isControlledBy(String peer) {
        RouterEntry known = controller;
        return known != null && known.routerId().equals(peer);
    }

    /** Stops without the lock, because the thread that is stopped may be waiting for it. */
    @Override
    public void close() {
        PeerNetwork link = network;
        if (link != null) {
            link.close();
            reader().close();
        }
    }

    private synchronized DutyThread reader() {
        return reader;
    }
}
