package org.daisyscale.core.internal.serving;

import java.util.HashMap;
import java.util.Map;
import org.daisyscale.core.serving.Route;
import org.daisyscale.core.serving.Route.WeightedService;

/**
 * Distributes the requests of a route over its services by smooth weighted round robin, so that each sequence of
 * requests stays close to the weights. Not thread-safe; confined to the core thread.
 */
final class WeightedSplitter {
    private final Map<String, Map<String, Double>> creditByRoute = new HashMap<>();

    /** Returns the service of the next request. */
    String next(Route route) {
        if (route.services().size() == 1) {
            return route.services().get(0).service();
        }
        Map<String, Double> credit = creditByRoute.computeIfAbsent(route.name(), name -> new HashMap<>());
        double total = 0;
        WeightedService best = route.services().get(0);
        for (WeightedService candidate : route.services()) {
            total += candidate.weight();
            credit.merge(candidate.service(), candidate.weight(), Double::sum);
            if (credit.get(candidate.service()) > credit.get(best.service())) {
                best = candidate;
            }
        }
        credit.merge(best.service(), -total, Double::sum);
        return best.service();
    }

    /** Discards the state of all routes, for new weights. */
    void clear() {
        creditByRoute.clear();
    }
}
