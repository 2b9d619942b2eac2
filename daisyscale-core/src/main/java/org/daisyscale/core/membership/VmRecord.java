package org.daisyscale.core.membership;

/**
 * One entry of the platform's list of live and leaving VMs, which may be stale. Immutable.
 *
 * @param id the id of the VM, never reused
 * @param role what runs on the VM
 * @param jobName the job name that the platform lists the VM under; empty for routers
 * @param dataCentre the data centre
 * @param host the IP address
 * @param httpPort the port for HTTP
 * @param peerPort the port for peers; 0 for backend servers
 * @param isLeaving whether the VM is about to leave
 * @param slotCount the number of requests that a backend server runs concurrently; 0 for routers
 * @param connectionLimit the maximum number of connections that a backend server accepts from all clients; 0 for
 *     routers
 */
public record VmRecord(
        String id,
        VmRole role,
        String jobName,
        String dataCentre,
        String host,
        int httpPort,
        int peerPort,
        boolean isLeaving,
        int slotCount,
        int connectionLimit) {}
