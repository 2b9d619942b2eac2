package org.daisyscale.router.internal.serving;

/**
 * The registration of a router in the store. Immutable.
 *
 * @param routerId the id of the router
 * @param host the IP address for peers
 * @param port the port for peers
 * @param leaseId the lease of the registration, which tells incarnations of the router apart
 * @param cores the processor share of the router's VM, in cores
 */
record RouterEntry(String routerId, String host, int port, long leaseId, double cores) {

    RouterEntry withLease(long newLeaseId) {
        return new RouterEntry(routerId, host, port, newLeaseId, cores);
    }
}
