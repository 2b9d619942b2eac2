package org.daisyscale.testkit.cluster;

import java.nio.file.Path;
import java.util.List;

/**
 * What a cluster is made of. Immutable.
 *
 * @param dataCentres the names of the data centres
 * @param routersPerDataCentre the routers in each
 * @param groups the backend servers
 * @param routerCommand the launcher of the router
 * @param routerFlags more flags of the routers
 * @param documentText the configuration to begin with
 * @param seed the seed of the backend servers
 */
public record ClusterLayout(
        List<String> dataCentres,
        int routersPerDataCentre,
        List<ServerGroup> groups,
        Path routerCommand,
        List<String> routerFlags,
        String documentText,
        long seed) {
    public ClusterLayout {
        dataCentres = List.copyOf(dataCentres);
        groups = List.copyOf(groups);
        routerFlags = List.copyOf(routerFlags);
    }
}
