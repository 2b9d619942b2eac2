package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * Tracks the utilization of each server that may get keys while a plan moves ranges. Every key adds a small baseline
 * rate, so that keys without traffic are spread too. Not thread-safe; confined to one plan.
 */
final class ServerLoads {
    private final PlanContext context;
    private final Map<Owner, Double> rateByOwner = new HashMap<>();
    private final Map<Owner, Double> weightedCapacityByOwner = new HashMap<>();
    private final Map<Owner, Double> capacityByOwner = new HashMap<>();

    ServerLoads(MapDraft draft, PlanContext context) {
        this.context = context;
        Map<String, Double> weights = context.load().weightedCapacities(context.warm());
        context.warm().forEach(server -> {
            weightedCapacityByOwner.put(Owner.of(server), weights.get(server.id()));
            capacityByOwner.put(Owner.of(server), context.load().capacity(server));
            rateByOwner.put(Owner.of(server), 0.0);
        });
        draft.assignments().forEach(assignment -> add(assignment.owner(), rate(assignment)));
    }

    /** Returns the rate of a range with its baseline, in requests per second. */
    double rate(KeyAssignment assignment) {
        return context.load().rateWithBaseline(assignment);
    }

    /** Adds {@code rate} to the load of {@code owner}; ignores owners that may not get keys. */
    void add(Owner owner, double rate) {
        rateByOwner.computeIfPresent(owner, (key, sum) -> sum + rate);
    }

    /** Returns the load of {@code owner} as a fraction of its weighted capacity. */
    double utilization(Owner owner) {
        return rateByOwner.get(owner) / weightedCapacity(owner);
    }

    /**
     * Returns the capacity of {@code owner}, weighted in favour of fast servers while servers are idle, in requests per
     * second. The sum over all owners is the total capacity.
     */
    double weightedCapacity(Owner owner) {
        return weightedCapacityByOwner.get(owner);
    }

    /** Returns whether {@code owner} is one of the servers that may get keys. */
    boolean isKnown(Owner owner) {
        return capacityByOwner.containsKey(owner);
    }

    /** Returns the capacity of {@code owner} in requests per second. */
    double capacity(Owner owner) {
        return capacityByOwner.get(owner);
    }

    /** Returns the utilization that every server would have if the load were spread evenly. */
    double evenUtilization() {
        double rate =
                rateByOwner.values().stream().mapToDouble(Double::doubleValue).sum();
        double weight = weightedCapacityByOwner.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        return rate / Math.max(1, weight);
    }

    /** Returns the owner with the lowest utilization; empty if no server may get keys. */
    Optional<Owner> leastLoaded() {
        return owners().stream().min((one, other) -> Double.compare(utilization(one), utilization(other)));
    }

    /** Returns the owners by descending utilization. */
    List<Owner> mostLoadedFirst() {
        return owners().stream()
                .sorted((one, other) -> Double.compare(utilization(other), utilization(one)))
                .toList();
    }

    private List<Owner> owners() {
        return rateByOwner.keySet().stream()
                .sorted((one, other) -> one.serverId().compareTo(other.serverId()))
                .toList();
    }
}
