package org.daisyscale.core.following;

/**
 * The router that tells others what it read in the store, and the connection that it tells by. Immutable.
 *
 * @param routerId the router
 * @param connection the number of the connection to it, which changes when it connects again
 */
public record Teller(String routerId, long connection) {}
