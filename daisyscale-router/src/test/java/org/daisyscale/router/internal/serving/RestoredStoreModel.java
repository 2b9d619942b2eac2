package org.daisyscale.router.internal.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.daisyscale.core.keys.KeyEvent;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyMap;
import org.daisyscale.core.serving.RequestLimits;
import org.daisyscale.core.serving.RoutingTable;
import org.daisyscale.core.serving.ServiceRules;
import org.daisyscale.core.serving.ServingEvent;

/**
 * Two controllers of keys, their servers and a store that is restored from older copies, in virtual time. Servers
 * drain, routers are cut off from the store, and calls are delayed and lost. Not thread-safe.
 */
final class RestoredStoreModel {
    static final long MILLI = 1_000_000L;
    static final int SAMPLED_KEYS = 16;

    private static final int ROUTERS = 2;
    private static final int SERVERS = 3;
    private static final long TICK_MILLIS = 50;

    private final RandomGenerator random;
    private final Fault fault;
    private final ModelKeyStore store = new ModelKeyStore(() -> nowNanos());
    private final PriorityQueue<Timed> queue = new PriorityQueue<>();
    private final List<ModelController> routers = new ArrayList<>();
    private final Map<String, ModelKeyServer> servers = new HashMap<>();
    private final Set<Long> usedFences = new HashSet<>();
    private final Set<String> draining = new HashSet<>();
    private ModelKeyStore.Copy copy;
    private KeyMap newestPublished;
    private KeyMap lastPublished;
    private boolean isDisturbed = true;
    private long nowNanos = 1;
    private long upNanos;
    private long sequence;

    RestoredStoreModel(RandomGenerator random, Fault fault) {
        this.random = random;
        this.fault = fault;
        IntStream.range(0, ROUTERS).forEach(index -> routers.add(new ModelController(this, store, "r" + index)));
        ServiceRules rules = new ServiceRules("stock", "/health", 120, 3_000, 7, true, 5_000);
        changeFleet(new ServingEvent.EvacuationsChanged(Set.of()));
        changeFleet(new ServingEvent.TableChanged(
                new RoutingTable(1, List.of(), Map.of("stock", rules), new RequestLimits(1, 1, 1, 1))));
        for (int index = 0; index < SERVERS; index++) {
            servers.put("k" + index, new ModelKeyServer());
            changeFleet(new ServingEvent.ServerChanged(server("k" + index)));
        }
        copy = store.copy();
    }

    private BackendServer server(String id) {
        return new BackendServer(id, 1, "stock", "10.0.0.1", 80, "dc1", 3, draining.contains(id), 0);
    }

    private void changeFleet(ServingEvent change) {
        routers.forEach(router -> router.handle(new KeyEvent.FleetChanged(change)));
    }

    /** Runs with disturbances for some time, then without any until all keys must be held again. */
    void run(long disturbedMillis, long quietMillis) {
        for (long passed = 0; passed < disturbedMillis; passed += TICK_MILLIS) {
            disturb();
            tick();
        }
        isDisturbed = false;
        routers.forEach(router -> router.setCutOff(false));
        for (long passed = 0; passed < quietMillis; passed += TICK_MILLIS) {
            tick();
        }
        for (int key = 0; key < SAMPLED_KEYS; key++) {
            assertThat(holders(key))
                    .as("servers that hold key %d at the end", key)
                    .hasSize(1);
        }
        assertThat(newestPublished.isNewerThan(lastPublished))
                .as("the key map published last is older than one before")
                .isFalse();
    }

    private void disturb() {
        int step = random.nextInt(1_000);
        if (step < 20) {
            toggleDraining("k" + random.nextInt(SERVERS));
        } else if (step < 60) {
            copy = store.copy();
        } else if (step < 66) {
            store.restore(copy, random.nextBoolean());
            upNanos = nowNanos + random.nextInt(3_000) * MILLI;
        } else if (step < 80) {
            routers.get(random.nextInt(ROUTERS)).setCutOff(random.nextBoolean());
        }
    }

    private void toggleDraining(String id) {
        if (!draining.remove(id) && draining.size() < SERVERS - 1) {
            draining.add(id);
        }
        changeFleet(new ServingEvent.ServerChanged(server(id)));
    }

    private void tick() {
        long endNanos = nowNanos + TICK_MILLIS * MILLI;
        while (!queue.isEmpty() && queue.peek().nanos() - endNanos <= 0) {
            Timed due = queue.poll();
            nowNanos = due.nanos();
            due.task().run();
            checkHolders();
        }
        nowNanos = endNanos;
        routers.forEach(ModelController::step);
        checkHolders();
    }

    private void checkHolders() {
        for (int key = 0; key < SAMPLED_KEYS; key++) {
            assertThat(holders(key)).as("servers that hold key %d", key).hasSizeLessThanOrEqualTo(1);
        }
    }

    private List<String> holders(int key) {
        return servers.entrySet().stream()
                .filter(server -> server.getValue().holds(key, nowNanos))
                .map(Map.Entry::getKey)
                .toList();
    }

    void afterMillis(long millis, Runnable task) {
        sequence++;
        queue.add(new Timed(nowNanos + millis * MILLI, sequence, task));
    }

    long nowNanos() {
        return nowNanos;
    }

    RandomGenerator random() {
        return random;
    }

    boolean has(Fault other) {
        return fault == other;
    }

    boolean isDisturbed() {
        return isDisturbed;
    }

    boolean isStoreDown() {
        return upNanos - nowNanos > 0;
    }

    ModelKeyServer serverOf(String id) {
        return servers.get(id);
    }

    void recordPublished(KeyMap map) {
        lastPublished = map;
        newestPublished = newestPublished == null || map.isNewerThan(newestPublished) ? map : newestPublished;
    }

    /** Returns the fence as the servers get it. */
    long sentFence(long fence, boolean isRenewal) {
        long sent = fault == Fault.FENCES_WITHOUT_ERA ? fence & ((1L << 40) - 1) : fence;
        if (!isRenewal) {
            assertThat(usedFences.add(sent)).as("fence %d was used once", sent).isTrue();
        }
        return sent;
    }

    /** A fault that the checks of this model have to find. */
    enum Fault {
        NONE,
        /** Fences begin anew in each era. */
        FENCES_WITHOUT_ERA,
        /** A controller goes on with its lease when the store was restored. */
        TRUSTED_LEASE
    }

    private record Timed(long nanos, long sequence, Runnable task) implements Comparable<Timed> {
        @Override
        public int compareTo(Timed other) {
            return nanos != other.nanos ? Long.compare(nanos, other.nanos) : Long.compare(sequence, other.sequence);
        }
    }

    /** A server that holds sampled keys, each until its grant expires, and rejects lower fences. */
    static final class ModelKeyServer {
        private final long[] fences = new long[SAMPLED_KEYS];
        private final long[] expiryNanos = new long[SAMPLED_KEYS];

        private static IntStream sampledKeys(int firstKey, int lastKey) {
            int step = KeyMap.KEY_COUNT / SAMPLED_KEYS;
            return IntStream.range(0, SAMPLED_KEYS).filter(key -> firstKey <= key * step && key * step <= lastKey);
        }

        boolean grant(int firstKey, int lastKey, long fence, long untilNanos) {
            if (sampledKeys(firstKey, lastKey).anyMatch(key -> fences[key] > fence)) {
                return false;
            }
            sampledKeys(firstKey, lastKey).forEach(key -> {
                fences[key] = fence;
                expiryNanos[key] = untilNanos;
            });
            return true;
        }

        void release(int firstKey, int lastKey) {
            sampledKeys(firstKey, lastKey).forEach(key -> expiryNanos[key] = 0);
        }

        boolean holds(int key, long nowNanos) {
            return expiryNanos[key] - nowNanos > 0;
        }
    }
}
