package org.daisyscale.router.internal.backend;

/**
 * Settings of the connections and calls to backend servers. Immutable.
 *
 * @param threadCount the number of event loops
 * @param connectionsPerServer the maximum number of connections from this router to one server
 * @param connectTimeoutMillis the timeout for establishing a connection, in milliseconds
 * @param maxAnswerBytes the maximum size of an answer's body, in bytes
 * @param controlTimeoutMillis the timeout for the answer to a probe or a grant, in milliseconds
 * @param ringCapacity the capacity of the order ring and of the control call ring, in actions each
 */
public record BackendSettings(
        int threadCount,
        int connectionsPerServer,
        long connectTimeoutMillis,
        long maxAnswerBytes,
        long controlTimeoutMillis,
        int ringCapacity) {}
