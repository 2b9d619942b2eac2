package org.daisyscale.router.internal.settings;

/**
 * The settings of the connections between routers. Immutable.
 *
 * @param host the address to listen on
 * @param port the port; 0 for any free port
 * @param secret the secret shared by all routers of an environment
 */
public record PeerSettings(String host, int port, Secret secret) {}
