package org.daisyscale.core.following;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** A store, routers that follow a prefix of it, and random faults, all from one seed. Not thread-safe. */
final class FollowingModel {
    private static final int FAULT_INTERVAL_MILLIS = 1_500;
    private static final long LOST_MILLIS = 8_000;

    private final ModelFaults faults;
    private final SplittableRandom random;
    private final ModelStore store = new ModelStore();
    private final FollowingModelChecks checks;
    private final ModelFleet fleet;
    private final List<String> ids = new ArrayList<>();
    private final int keyCount;
    private String controllerId = "r0";
    private long faultsEndMillis;

    FollowingModel(long seed, ModelFaults faults, int routerCount, int keyCount) {
        this.faults = faults;
        this.random = new SplittableRandom(seed);
        this.fleet = new ModelFleet(store, faults, random.split());
        this.keyCount = keyCount;
        this.checks = new FollowingModelChecks(store, faults.isLimitKept());
        checks.watch(fleet);
        for (int index = 0; index < routerCount; index++) {
            String id = "r" + index;
            ids.add(id);
            fleet.routers().put(id, new ModelRouter(id, fleet, checks, random.nextLong()));
        }
    }

    FollowingModelChecks checks() {
        return checks;
    }

    boolean isController(String id) {
        return id.equals(controllerId);
    }

    String describe() {
        return String.join(
                "", fleet.routers().values().stream().map(checks::describe).toList());
    }

    void runUntil(long millis) {
        fleet.runUntil(millis);
    }

    /** Returns the number of calls to the store by router. */
    Map<String, Long> callCounts() {
        Map<String, Long> counts = new TreeMap<>();
        fleet.routers().forEach((id, router) -> counts.put(id, router.callCount()));
        return counts;
    }

    /** Returns the revisions of the stored items by key. */
    Map<String, Long> storedItems() {
        Map<String, Long> items = new TreeMap<>();
        store.keys().stream()
                .filter(key -> store.isHeldAt(key, store.revision()))
                .forEach(key -> items.put(key, store.lastChange(key, store.revision())));
        return items;
    }

    /** Returns the revisions of the items that each router holds, by key. */
    List<Map<String, Long>> views() {
        return fleet.routers().values().stream()
                .map(router -> {
                    Map<String, Long> items = new TreeMap<>();
                    router.items().forEach((key, item) -> items.put(key, item.revision()));
                    return items;
                })
                .toList();
    }

    void start() {
        for (int key = 0; key < keyCount / 2; key++) {
            store.change(key(key), true, 0);
        }
        fleet.routers().values().forEach(router -> {
            router.learnController(controllerId);
            router.runStep();
        });
    }

    private static String key(int number) {
        return ModelRouter.PREFIX + "k" + number;
    }

    /** Changes items from {@code startMillis} to {@code endMillis}, beside the faults. */
    void change(long startMillis, long endMillis, int maxIntervalMillis, long limitMillis) {
        faultsEndMillis = endMillis;
        long millis = startMillis;
        while (millis < endMillis) {
            fleet.at(millis, () -> changeOnce(limitMillis));
            millis += 1 + random.nextInt(random.nextInt(4) == 0 ? maxIntervalMillis / 10 : maxIntervalMillis);
        }
        if (faults.isFleetFaulty()) {
            fleet.at(startMillis, this::startFault);
        }
    }

    private void changeOnce(long limitMillis) {
        if (random.nextInt(10) == 0) {
            store.changeElsewhere();
        }
        store.change(key(random.nextInt(keyCount)), random.nextInt(3) > 0, fleet.nowMillis())
                .ifPresent(change -> fleet.at(fleet.nowMillis() + limitMillis, () -> checks.checkKnown(change)));
    }

    private String anyRouter() {
        return ids.get(random.nextInt(ids.size()));
    }

    private void after(int maxMillis, Runnable action) {
        fleet.at(fleet.nowMillis() + 1 + random.nextInt(maxMillis), action);
    }

    private void startFault() {
        if (fleet.nowMillis() >= faultsEndMillis) {
            return;
        }
        switch (random.nextInt(faults.isStoreFaulty() ? 8 : 6)) {
            case 0 -> replaceController(1_500);
            case 1 -> loseController();
            case 2 -> fleet.routers().get(anyRouter()).freeze(fleet.nowMillis() + random.nextInt(3_000));
            case 3, 4 -> cutLink();
            case 5 -> fillRing();
            case 6 -> startOutage();
            default -> store.dropHistory();
        }
        after(FAULT_INTERVAL_MILLIS, this::startFault);
    }

    /** Makes another router the controller; the former one learns it last. */
    private void replaceController(int maxMillis) {
        String former = controllerId;
        String next = anyRouter();
        controllerId = next;
        for (ModelRouter router : fleet.routers().values()) {
            after(router.id().equals(former) ? maxMillis : 300, () -> router.learnController(controllerId));
        }
    }

    private void loseController() {
        fleet.routers().get(controllerId).freeze(fleet.nowMillis() + LOST_MILLIS);
        fleet.at(fleet.nowMillis() + 1_400, () -> replaceController(1));
    }

    private void cutLink() {
        String one = anyRouter();
        String other = random.nextBoolean() ? controllerId : anyRouter();
        if (!one.equals(other)) {
            fleet.setCut(one, other, true);
            after(3_000, () -> fleet.setCut(one, other, false));
        }
    }

    private void fillRing() {
        ModelRouter router = fleet.routers().get(anyRouter());
        router.setRingFull(true);
        after(1_000, () -> router.setRingFull(false));
    }

    /** Stops the store; afterwards some items have lapsed, some of which are written again. */
    private void startOutage() {
        fleet.setOutage(true);
        after(5_000, () -> {
            fleet.setOutage(false);
            for (int count = random.nextInt(4); count > 0; count--) {
                String key = key(random.nextInt(keyCount));
                store.change(key, false, fleet.nowMillis());
                if (random.nextBoolean()) {
                    after(1_500, () -> store.change(key, true, fleet.nowMillis()));
                }
            }
        });
    }

    /** Ends all faults; one router is the controller for all. */
    void endFaults() {
        fleet.setFaults(ModelFaults.NONE);
        fleet.setOutage(false);
        for (ModelRouter router : fleet.routers().values()) {
            router.learnController(controllerId);
            router.setRingFull(false);
            router.freeze(fleet.nowMillis());
            ids.stream()
                    .filter(other -> !other.equals(router.id()))
                    .forEach(other -> fleet.setCut(router.id(), other, false));
        }
    }
}
