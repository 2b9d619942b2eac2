package org.daisyscale.router.internal.front;

/**
 * Settings of the HTTP server for callers. Immutable.
 *
 * @param host the address to listen on
 * @param port the port to listen on; 0 for any free port
 * @param threadCount the number of event loops
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param bodyTimeLimitMillis the time limit for receiving a complete body, in milliseconds
 */
public record CallerFrontSettings(
        String host, int port, int threadCount, long maxBodyBytes, long bodyTimeLimitMillis) {}
