package org.daisyscale.core.keys;

import java.util.List;
import java.util.Map;

/**
 * The load of a sharded service that one router measured since its last report. Immutable.
 *
 * @param service the service
 * @param keys the key of each request
 * @param serviceMillisByServer the mean service time without queueing, in milliseconds, by id of the server
 */
public record KeyLoad(String service, List<Integer> keys, Map<String, Double> serviceMillisByServer) {

    public KeyLoad {
        keys = List.copyOf(keys);
        serviceMillisByServer = Map.copyOf(serviceMillisByServer);
    }
}
