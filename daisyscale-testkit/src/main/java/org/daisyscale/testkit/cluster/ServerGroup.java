package org.daisyscale.testkit.cluster;

import java.util.List;

/**
 * The backend servers of one job. Immutable.
 *
 * @param jobName the job name
 * @param serversPerDataCentre the servers in each data centre
 * @param slotCount the slots of each server
 * @param flags more flags of the stand-in
 */
public record ServerGroup(String jobName, int serversPerDataCentre, int slotCount, List<String> flags) {

    public ServerGroup {
        flags = List.copyOf(flags);
    }
}
