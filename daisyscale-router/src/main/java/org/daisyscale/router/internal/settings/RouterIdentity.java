package org.daisyscale.router.internal.settings;

/**
 * The identity and location of a router. Immutable.
 *
 * @param routerId the router's id, never reused: a restarted router gets a new one unless the setting fixes it
 * @param dataCentre the data centre
 * @param region the region
 * @param environment the environment, such as {@code trial}
 */
public record RouterIdentity(String routerId, String dataCentre, String region, String environment) {}
