package org.daisyscale.core.status;

/**
 * A router's view of another router. Immutable.
 *
 * @param router the other router's id
 * @param isHeard whether the other router answered within the last witness period
 * @param isSeat whether the other router is a router of record
 * @param mapVersion the map version in the other router's last answer
 * @param configurationRevision the configuration revision in the other router's last answer
 */
public record PeerStatus(String router, boolean isHeard, boolean isSeat, long mapVersion, long configurationRevision) {}
