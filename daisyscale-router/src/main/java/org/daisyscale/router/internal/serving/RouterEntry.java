package org.daisyscale.router.internal.serving;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The registration of a router in the store. Immutable.
 *
 * @param routerId the id of the router
 * @param host the IP address for peers
 * @param port the port for peers
 * @param leaseId the lease of the registration, which tells incarnations of the router apart
 * @param cores the processor share of the router's VM, in cores
 * @param era the era of the store in which the lease was granted; omitted if the store has none
 */
record RouterEntry(
        String routerId,
        String host,
        int port,
        long leaseId,
        double cores,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) long era) {

    /** Creates an entry in a store without eras. */
    RouterEntry(String routerId, String host, int port, long leaseId, double cores) {
        this(routerId, host, port, leaseId, cores, 0);
    }

    RouterEntry withLease(long newLeaseId, long newEra) {
        return new RouterEntry(routerId, host, port, newLeaseId, cores, newEra);
    }
}
