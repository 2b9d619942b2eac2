package org.daisyscale.core.platform;

/**
 * A lease of the platform's service. Immutable.
 *
 * @param key the key that the lease holds
 * @param holder the holder
 * @param leaseId the lease's id at the service
 * @param term the term, which increases with each new holder of the key
 */
public record Lease(String key, String holder, long leaseId, long term) {}
