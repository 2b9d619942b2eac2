package org.daisyscale.router.internal.operator;

/**
 * The settings of the operators' HTTP server. Immutable.
 *
 * @param host the address to listen on
 * @param port the port; 0 for any free port
 * @param token the operators' token
 */
public record OperatorSettings(String host, int port, OperatorToken token) {}
