package org.daisyscale.router.internal.serving;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.daisyscale.core.peer.PeerMessage.OperatorUpdate;
import org.daisyscale.core.platform.CoordinationStore.Item;
import org.daisyscale.core.platform.CoordinationStore.ItemChange;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.RoutingTableChange;
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

    static ControllerUpdate update(long revision, long fromVersion, long version, Set<String> evacuated) {
        RoutingTableChange change = new RoutingTableChange(
                Set.copyOf(List.of(fromVersion, version)),
                version,
                table(version).routes(),
                Set.of(),
                Map.of(),
                LIMITS);
        return new ControllerUpdate("r7", new OperatorUpdate(revision, change, evacuated));
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
