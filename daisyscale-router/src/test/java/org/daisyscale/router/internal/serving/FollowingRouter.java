package org.daisyscale.router.internal.serving;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import org.daisyscale.core.following.ItemView;
import org.daisyscale.core.following.ViewFollower;
import org.daisyscale.core.following.ViewListener;
import org.daisyscale.core.platform.CoordinationStore;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.EventTime;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.serving.FleetDecoder;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * A router that follows servers and operators in a store and is linked with other routers over the loopback interface.
 * Its duties run on their threads once they are started; until then the test runs their steps. What it knows may be
 * read by any thread.
 */
final class FollowingRouter implements AutoCloseable {
    static final String SERVERS = "servers/";
    static final String OPERATORS = "op/";

    private static final int ROUTE_COUNT = 20;
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);

    private final RouterEntry entry;
    private final ControllerLink link;
    private final FollowedView servers;
    private final FollowedView operators;
    private final Map<String, Long> revisionByServer = new ConcurrentHashMap<>();
    private final Map<String, List<Long>> revisionsByServer = new ConcurrentHashMap<>();
    private final List<RoutingTable> tables = new CopyOnWriteArrayList<>();
    private volatile Set<String> evacuatedDataCentres = Set.of();
    private volatile long keyMapVersion;

    /** Creates a router that has read nothing and knows no other router. */
    FollowingRouter(String routerId, CoordinationStore store, long batchMillis) throws IOException {
        entry = new RouterEntry(routerId, "127.0.0.1", freePort(), 7, 1);
        Address address = new Address(entry.host(), entry.port());
        link = new ControllerLink(routerId, address, this::record, event -> {}, EventLog::info);
        ItemView serverView = new ItemView(SERVERS, new RevisionListener(revisionByServer, revisionsByServer));
        servers = FollowedView.create(store, SERVERS, serverView, createFollower(batchMillis, false), link);
        OperatorState operatorState = new OperatorState(new RoutesDecoder(), this::record, new Readiness());
        operators = FollowedView.create(store, OPERATORS, operatorState, createFollower(batchMillis, true), link);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static ViewFollower createFollower(long batchMillis, boolean isListedWhileChanging) {
        return new ViewFollower(new SplittableRandom(), batchMillis, isListedWhileChanging, true, System.nanoTime());
    }

    private synchronized void record(ServingEvent event) {
        if (event instanceof ServingEvent.TableChanged changed) {
            tables.add(changed.table());
        } else if (event instanceof ServingEvent.EvacuationsChanged changed) {
            evacuatedDataCentres = changed.dataCentres();
        } else if (event instanceof ServingEvent.KeyMapChanged changed) {
            keyMapVersion = Math.max(keyMapVersion, changed.map().version());
        }
    }

    /** Makes all {@code routers} known to each other, lets them connect, and names {@code controller} to them. */
    static void connect(FollowingRouter controller, FollowingRouter... routers) {
        for (FollowingRouter router : routers) {
            for (FollowingRouter other : routers) {
                router.link.addRouter(other.entry);
            }
            router.link.setController(controller.entry);
            router.link.startNetwork("a secret of the test");
        }
    }

    /** Returns the value of a configuration whose first {@code changedRoutes} routes differ from those of any other. */
    static String configuration(long version, int changedRoutes) {
        return version + " " + changedRoutes;
    }

    /** Returns the table of a value of {@link #configuration}. */
    static RoutingTable table(String configuration) {
        return RoutesDecoder.read(configuration);
    }

    ControllerLink link() {
        return link;
    }

    RouterEntry entry() {
        return entry;
    }

    FollowedView servers() {
        return servers;
    }

    FollowedView operators() {
        return operators;
    }

    /** Runs a step of the duty that follows the servers; its threads must not be started. */
    void readServers() throws InterruptedException {
        servers.runStep();
    }

    /** Runs a step of the duty that follows the operators; its threads must not be started. */
    void readOperators() throws InterruptedException {
        operators.runStep();
    }

    void startServers() {
        servers.start();
    }

    void startOperators() {
        operators.start();
    }

    boolean areServersTold() {
        return servers.isTold();
    }

    boolean areOperatorsTold() {
        return operators.isTold();
    }

    /** Returns the revision of each known server. */
    Map<String, Long> revisionByServer() {
        return revisionByServer;
    }

    /** Returns the version of the known configuration; 0 if there is none. */
    long version() {
        return tables.isEmpty() ? 0 : tables.get(tables.size() - 1).version();
    }

    /** Returns the highest version of the key map that was received or published. */
    long keyMapVersion() {
        return keyMapVersion;
    }

    /** Returns all configurations that were in force, in their order. */
    List<RoutingTable> tables() {
        return tables;
    }

    /** Returns the revisions of each server that were known, in their order. */
    Map<String, List<Long>> revisionsByServer() {
        return revisionsByServer;
    }

    Set<String> evacuatedDataCentres() {
        return evacuatedDataCentres;
    }

    @Override
    public void close() {
        servers.close();
        operators.close();
        link.close();
    }

    /** Records the revisions of each server. */
    private record RevisionListener(Map<String, Long> revisionByServer, Map<String, List<Long>> revisionsByServer)
            implements ViewListener {

        @Override
        public void onWritten(Item item, EventTime writtenAt) {
            revisionByServer.put(item.key(), item.revision());
            revisionsByServer
                    .computeIfAbsent(item.key(), key -> new CopyOnWriteArrayList<>())
                    .add(item.revision());
        }

        @Override
        public void onRemoved(String key) {
            revisionByServer.remove(key);
        }

        @Override
        public void onComplete() {
            // The tests ask for single servers.
        }
    }

    /** Decodes the values of {@link #configuration}. */
    private static final class RoutesDecoder implements FleetDecoder {
        private static final String EVACUATIONS = OPERATORS + "evacuate/";

        @Override
        public String operatorPrefix() {
            return OPERATORS;
        }

        @Override
        public String serverPrefix() {
            return SERVERS;
        }

        @Override
        public Optional<RoutingTable> table(Item item) {
            if (!item.key().equals(OPERATORS + "config")) {
                return Optional.empty();
            }
            return Optional.of(read(new String(item.value(), StandardCharsets.UTF_8)));
        }

        private static RoutingTable read(String configuration) {
            String[] parts = configuration.split(" ", -1);
            long version = Long.parseLong(parts[0]);
            int changedRoutes = Integer.parseInt(parts[1]);
            List<Route> routes = IntStream.range(0, ROUTE_COUNT)
                    .mapToObj(index -> route(index, index < changedRoutes ? version : 1))
                    .toList();
            return new RoutingTable(version, routes, Map.of(), LIMITS);
        }

        private static Route route(int index, long timeoutMillis) {
            List<WeightedService> services = List.of(new WeightedService("s", 1));
            return new Route("r" + index, "h", "/r" + index + "/", true, timeoutMillis, 500, 1, 2, services);
        }

        @Override
        public Optional<String> evacuatedDataCentre(String key) {
            return key.startsWith(EVACUATIONS) ? Optional.of(key.substring(EVACUATIONS.length())) : Optional.empty();
        }

        @Override
        public Optional<BackendServer> server(Item item) {
            return Optional.empty();
        }

        @Override
        public String serverId(String key) {
            return key;
        }
    }
}
