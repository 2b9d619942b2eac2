package org.daisyscale.router.internal.serving;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.daisyscale.core.platform.CoordinationStore.Changes;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.platform.CoordinationStore.Listing;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.router.serving.FleetDecoder;

/**
 * What operators write at random, with everything that was ever in the store: configurations, some of which can't be
 * decoded, and evacuations. Not thread-safe.
 */
final class ModelStore implements FleetDecoder {
    private static final String PREFIX = "op/";
    private static final String CONFIGURATION = PREFIX + "config";
    private static final String EVACUATIONS = PREFIX + "evacuate/";
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);
    private static final int DATA_CENTRES = 3;
    private static final int ROUTE_NAMES = 16;

    private final RandomGenerator random;
    private final TreeMap<Long, Map<String, Item>> itemsByRevision = new TreeMap<>();
    private final Map<Long, RoutingTable> tableByVersion = new HashMap<>();
    private final List<ItemChange> changes = new ArrayList<>();
    private RoutingTable newest = new RoutingTable(0, List.of(), Map.of(), LIMITS);
    private long revision = 10;

    ModelStore(RandomGenerator random) {
        this.random = random;
        itemsByRevision.put(0L, Map.of());
        for (int count = 0; count < ROUTE_NAMES; count++) {
            changeTable();
        }
    }

    /** Writes once at random. */
    void write() {
        switch (random.nextInt(8)) {
            case 0, 1 -> toggleEvacuation();
            case 2 -> put(new Item(CONFIGURATION, "undecodable".getBytes(StandardCharsets.UTF_8), revision + 1));
            default -> changeTable();
        }
    }

    private void changeTable() {
        List<Route> routes = new ArrayList<>(newest.routes());
        int count = random.nextInt(6) == 0 ? ROUTE_NAMES : 1 + random.nextInt(2);
        for (int change = 0; change < count; change++) {
            changeRoute(routes);
        }
        newest = new RoutingTable(newest.version() + 1 + random.nextInt(3), routes, Map.of(), LIMITS);
        tableByVersion.put(newest.version(), newest);
        byte[] value = String.valueOf(newest.version()).getBytes(StandardCharsets.UTF_8);
        put(new Item(CONFIGURATION, value, revision + 1));
    }

    /** Adds, changes, moves or removes one route. */
    private void changeRoute(List<Route> routes) {
        String name = "r" + random.nextInt(ROUTE_NAMES);
        boolean wasThere = routes.removeIf(route -> route.name().equals(name));
        if (!wasThere || random.nextInt(3) > 0) {
            List<WeightedService> services = List.of(new WeightedService("s", 1));
            Route route = new Route(name, "h", "/" + name, true, 1 + random.nextInt(3), 500, 1, 2, services);
            routes.add(random.nextInt(routes.size() + 1), route);
        }
    }

    private void toggleEvacuation() {
        String key = EVACUATIONS + "z" + random.nextInt(DATA_CENTRES);
        if (newestItems().containsKey(key)) {
            Map<String, Item> items = new HashMap<>(newestItems());
            items.remove(key);
            record(items, new ItemChange(key, revision + 1, Optional.empty()));
        } else {
            put(new Item(key, new byte[0], revision + 1));
        }
    }

    private void put(Item item) {
        Map<String, Item> items = new HashMap<>(newestItems());
        items.put(item.key(), item);
        record(items, new ItemChange(item.key(), item.revision(), Optional.of(item)));
    }

    /** Records a write; other writes in the store may have raised the revision before it. */
    private void record(Map<String, Item> items, ItemChange change) {
        revision = change.revision();
        itemsByRevision.put(revision, Map.copyOf(items));
        changes.add(change);
        revision += random.nextInt(2);
    }

    private Map<String, Item> newestItems() {
        return itemsByRevision.lastEntry().getValue();
    }

    private Map<String, Item> itemsAt(long atRevision) {
        return itemsByRevision.floorEntry(atRevision).getValue();
    }

    long revision() {
        return revision;
    }

    Listing list(long atRevision) {
        return new Listing(List.copyOf(itemsAt(atRevision).values()), atRevision);
    }

    /** Returns the changes after {@code afterRevision}, of each item all versions. */
    Changes watch(long afterRevision) {
        return new Changes(
                changes.stream()
                        .filter(change -> change.revision() > afterRevision)
                        .toList(),
                revision);
    }

    Set<String> evacuatedAt(long atRevision) {
        Set<String> evacuated = new HashSet<>();
        itemsAt(atRevision).keySet().forEach(key -> evacuatedDataCentre(key).ifPresent(evacuated::add));
        return evacuated;
    }

    /** Returns the table at {@code atRevision}; empty if there is none or if it can't be decoded. */
    Optional<RoutingTable> tableAt(long atRevision) {
        return Optional.ofNullable(itemsAt(atRevision).get(CONFIGURATION)).flatMap(this::table);
    }

    RoutingTable tableOfVersion(long version) {
        return tableByVersion.get(version);
    }

    @Override
    public String operatorPrefix() {
        return PREFIX;
    }

    @Override
    public String serverPrefix() {
        return "servers/";
    }

    @Override
    public Optional<RoutingTable> table(Item item) {
        String text = new String(item.value(), StandardCharsets.UTF_8);
        return item.key().equals(CONFIGURATION) && !text.equals("undecodable")
                ? Optional.of(tableByVersion.get(Long.parseLong(text)))
                : Optional.empty();
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
