package org.daisyscale.core.serving;

/**
 * The size and time limits of a request. Immutable.
 *
 * @param maxHeaderBytes the maximum size of the header section, in bytes
 * @param maxBodyBytes the maximum size of the body, in bytes
 * @param headerTimeoutMillis the time for a header section to arrive, in milliseconds
 * @param idleTimeoutMillis the maximum idle time of a connection, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
