package org.daisyscale.core.internal.keys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.daisyscale.core.serving.KeyAssignment;
import org.daisyscale.core.serving.KeyAssignment.Owner;

/**
 * The load of each server that may get keys, as a share of its capacity, kept current while a plan moves ranges. Load
 * without requests counts a little by keys, so that keys without traffic spread too. Owned by one plan.
 */
final class ServerLoads {
    private final PlanContext context;
    private final Map<Owner, Double> rateByOwner = new HashMap<>();
    private final Map<Owner, Double> weightByOwner = new HashMap<>();
    private final Map<Owner, Double> bearableByOwner = new HashMap<>();

    ServerLoads(MapDraft draft, PlanContext context) {
        this.context = context;
        Map<String, Double> weights = context.load().weights(context.warm());
        context.warm().forEach(server -> {
            weightByOwner.put(Owner.of(server), weights.get(server.id()));
            bearableByOwner.put(Owner.of(server), context.load().capacity(server));
            rateByOwner.put(Owner.of(server), 0.0);
        });
        draft.assignments().forEach(assignment -> add(assignment.owner(), rate(assignment)));
    }

    /** The rate that a range counts with. */
    double rate(KeyAssignment assignment) {
        return context.load().weight(assignment);
    }

    void add(Owner owner, double rate) {
        rateByOwner.computeIfPresent(owner, (key, sum) -> sum + rate);
    }

    double share(Owner owner) {
        return rateByOwner.get(owner) / capacity(owner);
    }

    /** The requests a second that {@code owner} should get; for all owners together what the servers can bear. */
    double capacity(Owner owner) {
        return weightByOwner.get(owner);
    }

    /** Whether {@code owner}'s server is one of those that may get keys. */
    boolean isKnown(Owner owner) {
        return bearableByOwner.containsKey(owner);
    }

    /** The requests a second that {@code owner}'s server can bear. */
    double bearable(Owner owner) {
        return bearableByOwner.get(owner);
    }

    /** The share that every server would have if all had the same. */
    double evenShare() {
        double rate =
                rateByOwner.values().stream().mapToDouble(Double::doubleValue).sum();
        double weight =
                weightByOwner.values().stream().mapToDouble(Double::doubleValue).sum();
        return rate / Math.max(1, weight);
    }

    Optional<Owner> least() {
        return owners().stream().min((one, other) -> Double.compare(share(one), share(other)));
    }

    /** The owners, that with the largest share first. */
    List<Owner> mostFirst() {
        return owners().stream()
                .sorted((one, other) -> Double.compare(share(other), share(one)))
                .toList();
    }

    private List<Owner> owners() {
        return rateByOwner.keySet().stream()
                .sorted((one, other) -> one.serverId().compareTo(other.serverId()))
                .toList();
    }
}
