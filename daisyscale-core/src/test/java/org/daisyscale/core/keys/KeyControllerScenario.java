package org.daisyscale.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;

/** A controller of two servers, {@code k1} and {@code k2}, that a test drives. Not thread-safe. */
abstract class KeyControllerScenario {
    static final long MILLI = 1_000_000L;
    static final long HOLD_MAX_MILLIS = 10_000;

    private final KeyController controller = KeyController.create(new KeySettings(HOLD_MAX_MILLIS));
    private long nowNanos = 1;

    /** Returns the time, in nanoseconds of the monotonic clock. */
    long nowNanos() {
        return nowNanos;
    }

    List<KeyAction> handle(KeyEvent event) {
        return controller.handle(event, nowNanos);
    }

    List<KeyAction> advance(long millis) {
        List<KeyAction> actions = new ArrayList<>();
        for (long passed = 0; passed < millis; passed += 50) {
            nowNanos += 50 * MILLI;
            actions.addAll(handle(new KeyEvent.TimePassed()));
        }
        return actions;
    }

    List<KeyAction> changeFleet(ServingEvent change) {
        return handle(new KeyEvent.FleetChanged(change));
    }

    static BackendServer server(String id, long born, boolean isDraining) {
        return new BackendServer(id, born, "stock", "10.0.0.1", 80, "dc1", 3, isDraining, 0);
    }

    static Owner owner(String id) {
        return Owner.of(server(id, 1, false));
    }

    void renewLease(long forMillis) {
        handle(new KeyEvent.LeaseRenewed(nowNanos + forMillis * MILLI));
    }

    void registerService(String... serverIds) {
        changeFleet(new ServingEvent.EvacuationsChanged(Set.of()));
        registerServiceWithoutEvacuations(serverIds);
    }

    /** Registers the service at a controller that may not know yet which data centres are evacuated. */
    void registerServiceWithoutEvacuations(String... serverIds) {
        ServiceRules rules = new ServiceRules("stock", "/health", 120, 3_000, 7, true, 5_000);
        changeFleet(new ServingEvent.TableChanged(
                new RoutingTable(1, List.of(), Map.of("stock", rules), new RequestLimits(1, 1, 1, 1))));
        for (String id : serverIds) {
            changeFleet(new ServingEvent.ServerChanged(server(id, 1, false)));
        }
    }

    /** Makes the controller lead, with {@code k1} and {@code k2} holding half of the keys each under new grants. */
    KeyMap leadWithTwoOwners() {
        registerService("k1", "k2");
        renewLease(60_000);
        KeyAssignment first = new KeyAssignment(0, 32_767, owner("k1"), 3, true, List.of());
        KeyAssignment second = new KeyAssignment(32_768, KeyMap.KEY_COUNT - 1, owner("k2"), 4, true, List.of());
        KeyMap map = new KeyMap("stock", 3, 0, 5, List.of(first, second));
        List<KeyAction> actions = handle(new KeyEvent.MapRead(map, 30));
        assertThat(grants(actions)).isEmpty();
        KeyMap withFences = actionsOf(KeyAction.WriteMap.class, actions).get(0).map();
        actions = new ArrayList<>(handle(new KeyEvent.MapWritten(withFences, 31)));
        actions.addAll(advance(50));
        grants(actions).forEach(grant -> handle(new KeyEvent.GrantAccepted(grant.callId(), true)));
        return withFences;
    }

    static List<KeyAction.SendGrant> grants(List<KeyAction> actions) {
        return actionsOf(KeyAction.SendGrant.class, actions);
    }

    static <T> List<T> actionsOf(Class<T> kind, List<KeyAction> actions) {
        return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
    }

    /** Drains {@code k1} and returns the map that the controller writes for its keys. */
    KeyMap drainFirstOwner() {
        List<KeyAction> actions = new ArrayList<>(changeFleet(new ServingEvent.ServerChanged(server("k1", 1, true))));
        actions.addAll(advance(50));
        List<KeyAction.WriteMap> writes = actionsOf(KeyAction.WriteMap.class, actions);
        assertThat(writes).hasSize(1);
        assertThat(grants(actions)).noneMatch(grant -> grant.firstKey() < 32_768);
        return writes.get(0).map();
    }

    /** Lets the address of {@code k1} refuse connections and returns the map that moves its keys. */
    KeyMap loseFirstOwner() {
        List<KeyAction> actions = new ArrayList<>();
        while (actionsOf(KeyAction.WriteMap.class, actions).isEmpty()) {
            actions = advance(50);
            grants(actions)
                    .forEach(grant -> handle(
                            grant.owner().equals(owner("k1"))
                                    ? new KeyEvent.CallUnanswered(grant.callId(), false)
                                    : new KeyEvent.GrantAccepted(grant.callId(), true)));
        }
        return actionsOf(KeyAction.WriteMap.class, actions).get(0).map();
    }
}
