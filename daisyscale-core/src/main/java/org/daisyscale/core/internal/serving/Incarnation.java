package org.daisyscale.core.internal.serving;

import org.daisyscale.core.serving.BackendServer;

/**
 * Identifies one incarnation of a server. Immutable.
 *
 * @param serverId the server's id
 * @param bornEpochMillis the start of the incarnation, in milliseconds since the epoch
 */
record Incarnation(String serverId, long bornEpochMillis) {

    static Incarnation of(BackendServer server) {
        return new Incarnation(server.id(), server.bornEpochMillis());
    }
}
