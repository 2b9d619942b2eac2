package org.daisyscale.core.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.daisyscale.core.serving.Allowance;
import org.daisyscale.core.serving.Organisation;
import org.daisyscale.core.serving.OrganisationTable;

/**
 * Routers with accounts and ledgers in virtual time, with a control lease, registrations and messages that are delayed
 * or lost. Each run depends on the seed only.
 */
final class QuotaModel {
    static final long MILLI = 1_000_000L;
    static final long STEP_NANOS = 5 * MILLI;
    static final long WINDOW_NANOS = 5_000 * MILLI;
    private static final long LEASE_NANOS = 1_500 * MILLI;
    private static final long RENEW_NANOS = 400 * MILLI;
    private static final long LEASE_MARGIN_NANOS = 100 * MILLI;
    private static final long REGISTRATION_NANOS = 4_000 * MILLI;

    private final SplittableRandom random;
    private final Map<String, ModelRouter> routerById = new TreeMap<>();
    private final Map<String, ModelRuns> runsByName = new HashMap<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private OrganisationTable table = OrganisationTable.NONE;
    private final List<LimitChange> limitChanges = new ArrayList<>();
    private long tableVersion;
    private long nowNanos;
    private long messageCount;
    private String leaseHolder = "";
    private long leaseUntilNanos;
    private long leaseRenewedNanos;

    QuotaModel(long seed, int routerCount, long lifetimeNanos) {
        random = new SplittableRandom(seed);
        for (int index = 0; index < routerCount; index++) {
            String id = "r" + index;
            routerById.put(id, new ModelRouter(this, id, random.split(), lifetimeNanos));
            routerById.get(id).registerUntil(REGISTRATION_NANOS);
        }
        publishRouters();
    }

    SplittableRandom random() {
        return random;
    }

    OrganisationTable table() {
        return table;
    }

    long tableVersion() {
        return tableVersion;
    }

    long nowNanos() {
        return nowNanos;
    }

    long messageCount() {
        return messageCount;
    }

    void countMessage() {
        messageCount++;
    }

    ModelRuns runs(String name) {
        return runsByName.computeIfAbsent(name, key -> new ModelRuns(WINDOW_NANOS));
    }

    Map<String, ModelRuns> allRuns() {
        return runsByName;
    }

    List<ModelRouter> routers() {
        return List.copyOf(routerById.values());
    }

    ModelRouter anyRouter() {
        return routers().get(random.nextInt(routerById.size()));
    }

    Set<String> registeredIds() {
        return routerById.values().stream()
                .filter(router -> router.registeredUntilNanos() > nowNanos)
                .map(router -> router.id())
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Changes an allowance; each router learns of it within a second. */
    void setAllowance(String name, Allowance allowance) {
        Map<String, Organisation> byName = new HashMap<>(table.byName());
        byName.put(name, new Organisation(name, Set.of(), Organisation.ROUTE_PRIORITY, allowance));
        OrganisationTable newer = new OrganisationTable(true, byName);
        boolean isFirst = !table.byName().containsKey(name);
        tableVersion++;
        if (!isFirst) {
            limitChanges.add(new LimitChange(tableVersion, name, limit(table, name)));
        }
        runs(name).allow(limit(newer, name), Long.MAX_VALUE / 2);
        table = newer;
        long version = tableVersion;
        routers()
                .forEach(router -> deliver(
                        nowNanos + (isFirst ? 0 : random.nextLong(1_000) * MILLI),
                        router,
                        () -> router.useTable(newer, version)));
    }

    /** Ends the allowances that no router has in force any more, once messages from before have arrived. */
    private void endLimits() {
        limitChanges.removeIf(change -> {
            boolean isEnded =
                    routers().stream().allMatch(router -> router.isLost() || router.tableVersion() >= change.version());
            if (isEnded && change.limit() != limit(table, change.name())) {
                runs(change.name()).allow(change.limit(), nowNanos + 100 * MILLI);
            }
            return isEnded;
        });
    }

    private static double limit(OrganisationTable table, String name) {
        return table.byName().get(name).allowance().requestsPerWindow(WINDOW_NANOS / MILLI);
    }

    /** Sends a message; it is lost if the routers don't reach each other when it arrives. */
    void send(ModelRouter from, String toId, Consumer<ModelRouter> action) {
        ModelRouter to = routerById.get(toId);
        if (to == null) {
            return;
        }
        long delayNanos = from == to ? 0 : random.nextLong(1, 12) * MILLI;
        deliver(nowNanos + delayNanos, to, () -> {
            if (from == to || from.reaches(to)) {
                action.accept(to);
            }
        });
    }

    private void deliver(long atNanos, ModelRouter to, Runnable action) {
        deliveries.add(new Delivery(atNanos, to, action));
    }

    /** Advances the time by one step. */
    void step() {
        nowNanos += STEP_NANOS;
        routers().forEach(router -> router.advance(STEP_NANOS));
        List<Delivery> due = deliveries.stream()
                .filter(delivery -> delivery.atNanos() <= nowNanos && !isPaused(delivery.to()))
                .toList();
        deliveries.removeAll(due);
        due.forEach(delivery -> delivery.to().enqueue(delivery.action()));
        endLimits();
        updateLease();
        updateRegistrations();
        routers().stream().filter(ModelRouter::isRunning).forEach(ModelRouter::step);
    }

    private boolean isPaused(ModelRouter router) {
        return !router.isLost() && !router.isRunning();
    }

    private void updateLease() {
        ModelRouter holder = routerById.get(leaseHolder);
        if (holder != null && leaseUntilNanos <= nowNanos) {
            leaseHolder = "";
        }
        if (leaseHolder.isEmpty()) {
            routers().stream()
                    .filter(router -> router.isRunning() && !router.isCutOffFromStore())
                    .findAny()
                    .ifPresent(this::acquire);
        } else if (holder.isRunning() && !holder.isCutOffFromStore() && nowNanos - leaseRenewedNanos >= RENEW_NANOS) {
            renew(holder);
        }
    }

    private void acquire(ModelRouter router) {
        leaseHolder = router.id();
        router.handle(new QuotaEvent.LeaseLost());
        renew(router);
        for (ModelRouter other : routers()) {
            deliver(nowNanos + random.nextLong(300) * MILLI, other, () -> {
                if (!other.isCutOffFromStore()) {
                    other.setController(router.id());
                    connect(router, other);
                }
            });
        }
    }

    private void renew(ModelRouter router) {
        leaseRenewedNanos = nowNanos;
        leaseUntilNanos = nowNanos + LEASE_NANOS;
        router.handle(new QuotaEvent.LeaseRenewed(router.nanos() + LEASE_NANOS - LEASE_MARGIN_NANOS));
    }

    private void connect(ModelRouter controller, ModelRouter other) {
        if (controller.reaches(other) && controller.isRunning()) {
            controller.handle(new QuotaEvent.RouterConnected(other.id()));
        }
    }

    /** Ends a partition or a loss of {@code router}, which connects to the controller again. */
    void reconnect(ModelRouter router) {
        router.endCutOff();
        router.setController(leaseHolder);
        ModelRouter controller = routerById.get(leaseHolder);
        if (controller != null) {
            connect(controller, router);
        }
    }

    private void updateRegistrations() {
        Set<String> before = registeredIds();
        routers().stream()
                .filter(router -> router.isRunning() && !router.isCutOffFromStore())
                .forEach(router -> router.registerUntil(nowNanos + REGISTRATION_NANOS));
        if (!before.equals(registeredIds()) || nowNanos % (500 * MILLI) == 0) {
            publishRouters();
        }
    }

    private void publishRouters() {
        Set<String> ids = registeredIds();
        routers().stream()
                .filter(router -> router.isRunning() && !router.isCutOffFromStore())
                .forEach(router -> router.handle(new QuotaEvent.RoutersChanged(ids)));
    }

    ModelRouter controllerOrAny() {
        return leaseHolder.isEmpty() ? anyRouter() : routerById.get(leaseHolder);
    }

    private record LimitChange(long version, String name, double limit) {}

    private record Delivery(long atNanos, ModelRouter to, Runnable action) {}
}
