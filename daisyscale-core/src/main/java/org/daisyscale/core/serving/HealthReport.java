package org.daisyscale.core.serving;

/**
 * What a backend server says of itself in its response to a health check. Immutable.
 *
 * @param serverId the server's id; empty if the response does not state it
 * @param coldLeftMillis how much longer the server is cold, in milliseconds; 0 for a warm one
 */
public record HealthReport(String serverId, long coldLeftMillis) {}
