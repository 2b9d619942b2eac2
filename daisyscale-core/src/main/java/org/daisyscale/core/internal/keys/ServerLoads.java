package org.daisyscale.core.internal.keys;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Tracks the load of each server that may get keys while a plan moves ranges. Every key adds a small baseline rate, so
 * that keys without traffic are spread too. Not thread-safe; confined to one plan.
 */
final class ServerLoads {
    private final PlanContext context;
    private final Map<Owner, Load> loadByOwner = new HashMap<>();

    ServerLoads(MapDraft draft, PlanContext context) {
        this.context = context;
        Map<String, Double> weights = context.load().weightedCapacities(context.warm());
        for (BackendServer server : context.warm()) {
            loadByOwner.put(
                    Owner.of(server),
                    new Load(
                            context.load().capacity(server),
                            weights.get(server.id()),
                            context.load().relativeServiceTime(server)));
        }
        draft.assignments().forEach(this::addMeasured);
    }

    private void addMeasured(KeyAssignment assignment) {
        Load load = loadByOwner.get(assignment.owner());
        if (load != null) {
            RangeDemand demand = context.load().demand(assignment);
            load.rate += demand.rate();
            load.measuredRate += demand.measuredRate();
            load.variance += demand.variance();
            load.isChanging |= demand.isChanging();
        }
    }

    /** Adds {@code rate} to the load of {@code owner}; ignores owners that may not get keys. */
    void add(Owner owner, double rate) {
        Load load = loadByOwner.get(owner);
        if (load != null) {
            load.rate += rate;
        }
    }

    /** Returns the load of {@code owner}, in requests per second. */
    double rate(Owner owner) {
        return loadByOwner.get(owner).rate;
    }

    /** Returns the least load that {@code owner} had before this plan, {@code deviations} below the measured one. */
    double certainRate(Owner owner, double deviations) {
        Load load = loadByOwner.get(owner);
        return load.measuredRate - deviations * Math.sqrt(load.variance);
    }

    /** Returns whether the load of {@code owner} differs from what it was for seconds. */
    boolean isChanging(Owner owner) {
        return loadByOwner.get(owner).isChanging;
    }

    /** Returns the load of {@code owner} as a fraction of its capacity. */
    double utilization(Owner owner) {
        return rate(owner) / capacity(owner);
    }

    /** Returns the load of {@code owner} as a fraction of its weighted capacity. */
    double weightedUtilization(Owner owner) {
        return rate(owner) / weightedCapacity(owner);
    }

    /**
     * Returns the capacity of {@code owner}, weighted in favour of fast servers while servers are idle, in requests per
     * second. The sum over all owners is the total capacity.
     */
    double weightedCapacity(Owner owner) {
        return loadByOwner.get(owner).weightedCapacity;
    }

    /** Returns whether {@code owner} is one of the servers that may get keys. */
    boolean isKnown(Owner owner) {
        return loadByOwner.containsKey(owner);
    }

    /** Returns the capacity of {@code owner} in requests per second. */
    double capacity(Owner owner) {
        return loadByOwner.get(owner).capacity;
    }

    /** Returns the service time of {@code owner} as a multiple of the mean of all servers. */
    double relativeServiceTime(Owner owner) {
        return loadByOwner.get(owner).relativeServiceTime;
    }

    /** Returns the utilization that every server would have if the load were spread evenly. */
    double evenUtilization() {
        double rate =
                loadByOwner.values().stream().mapToDouble(load -> load.rate).sum();
        double capacity =
                loadByOwner.values().stream().mapToDouble(load -> load.capacity).sum();
        return rate / Math.max(1, capacity);
    }

    /** Returns the owner with the lowest weighted utilization; empty if no server may get keys. */
    Optional<Owner> leastLoaded() {
        return leastLoaded(owner -> true);
    }

    /** Returns the owner with the lowest weighted utilization of those that {@code filter} accepts, if any. */
    Optional<Owner> leastLoaded(Predicate<Owner> filter) {
        return owners().stream().filter(filter).min(Comparator.comparingDouble(this::weightedUtilization));
    }

    /** Returns the owners, sorted by id. */
    List<Owner> owners() {
        return loadByOwner.keySet().stream()
                .sorted(Comparator.comparing(Owner::serverId))
                .toList();
    }

    /** The load of one server. Not thread-safe. */
    private static final class Load {
        private final double capacity;
        private final double weightedCapacity;
        private final double relativeServiceTime;
        private double rate;
        private double measuredRate;
        private double variance;
        private boolean isChanging;

        private Load(double capacity, double weightedCapacity, double relativeServiceTime) {
            this.capacity = capacity;
            this.weightedCapacity = weightedCapacity;
            this.relativeServiceTime = relativeServiceTime;
        }
    }
}
