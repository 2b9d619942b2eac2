package org.daisyscale.testkit.capacity;

/**
 * The size of one region. Immutable.
 *
 * @param routerCount the routers
 * @param serviceCount the exclusive services, each with one dispatch range
 * @param serversPerService the backend servers of each service
 * @param slicesPerService the slices of each service
 */
public record FleetSize(int routerCount, int serviceCount, int serversPerService, int slicesPerService) {

    int serverCount() {
        return serviceCount * serversPerService;
    }

    int sliceCount() {
        return serviceCount * slicesPerService;
    }
}
