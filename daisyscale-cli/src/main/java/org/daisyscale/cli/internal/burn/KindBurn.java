package org.daisyscale.cli.internal.burn;

import java.util.List;

/**
 * The burn of one kind of request. Immutable.
 *
 * @param service the service
 * @param kind the kind
 * @param goodPercent the objective's minimum percentage of good requests
 * @param latencyMillis the objective's latency, in milliseconds
 * @param goodCount the good requests in the report's total
 * @param badCount the bad requests in the report's total
 * @param budgetLeftPercent the remaining error budget of these requests, in percent; negative if overspent
 * @param windows the burn over each window
 */
public record KindBurn(
        String service,
        String kind,
        double goodPercent,
        long latencyMillis,
        double goodCount,
        double badCount,
        double budgetLeftPercent,
        List<WindowBurn> windows) {

    public KindBurn {
        windows = List.copyOf(windows);
    }

    /** Returns the kind's full name, such as {@code slot-lookup/lookup}. */
    public String fullName() {
        return service + "/" + kind;
    }
}
