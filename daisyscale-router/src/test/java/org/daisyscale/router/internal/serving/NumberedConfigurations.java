package org.daisyscale.router.internal.serving;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.following.TableUpdate;
import org.daisyscale.core.following.ViewUpdate;
import org.daisyscale.core.following.ViewVersion;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableChange;
import org.daisyscale.router.internal.following.FollowEvent;
import org.daisyscale.router.serving.FleetDecoder;

/** Configurations for tests, which the store holds as their version number, and a decoder of them. Stateless. */
final class NumberedConfigurations implements FleetDecoder {
    private static final RequestLimits LIMITS = new RequestLimits(16_384, 1_000_000, 3_000, 15_000);

    /** Returns the configuration of {@code version}, whose only route has the version as its timeout. */
    static RoutingTable table(long version) {
        Route route = new Route("r", "h", "/r/", true, version, 500, 1, 2, List.of(new WeightedService("s", 1)));
        return new RoutingTable(version, List.of(route), Map.of(), LIMITS);
    }

    static Item configuration(long version, long revision) {
        return new Item("op/config", String.valueOf(version).getBytes(StandardCharsets.UTF_8), revision);
    }

    static ItemChange change(Item item) {
        return new ItemChange(item.key(), item.revision(), Optional.of(item));
    }

    static Item evacuation(String dataCentre, long revision) {
        return new Item("op/evacuate/" + dataCentre, new byte[0], revision);
    }

    /**
     * Returns the update of the controller from {@code fromVersion} alone to {@code version}, which was written at
     * {@code revision} like the evacuations.
     */
    static FollowEvent update(long revision, long fromVersion, long version, Set<String> evacuated) {
        return update(revision, Set.of(fromVersion, version), version, evacuated);
    }

    /** Returns the update of the controller from any of {@code fromVersions} to {@code version}. */
    static FollowEvent update(long revision, Set<Long> fromVersions, long version, Set<String> evacuated) {
        RoutingTableChange change = new RoutingTableChange(
                fromVersions,
                version,
                table(version).routes(),
                List.of(0),
                Set.of(),
                Map.of(),
                LIMITS,
                table(version).digest());
        List<Item> written = new ArrayList<>();
        written.add(configuration(version, revision));
        evacuated.forEach(dataCentre -> written.add(evacuation(dataCentre, revision)));
        ViewVersion newer = ControllerView.ofOperators()
                .list(revision, written.toArray(Item[]::new))
                .version();
        List<TableUpdate> tables = List.of(new TableUpdate(revision, change));
        return ControllerView.updated(new ViewUpdate("op/", newer, false, withoutValues(written), Set.of(), tables));
    }

    private static List<Item> withoutValues(List<Item> items) {
        return items.stream()
                .map(item -> new Item(item.key(), new byte[0], item.revision()))
                .toList();
    }

    @Override
    public String operatorPrefix() {
        return "op/";
    }

    @Override
    public String serverPrefix() {
        return "servers/";
    }

    @Override
    public Optional<RoutingTable> table(Item item) {
        return item.key().equals("op/config")
                ? Optional.of(table(Long.parseLong(new String(item.value(), StandardCharsets.UTF_8))))
                : Optional.empty();
    }

    @Override
    public Optional<String> evacuatedDataCentre(String key) {
        return key.startsWith("op/evacuate/") ? Optional.of(key.substring("op/evacuate/".length())) : Optional.empty();
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
