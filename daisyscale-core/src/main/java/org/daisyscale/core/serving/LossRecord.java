package org.daisyscale.core.serving;

import java.util.List;

/**
 * What is kept about a request that was lost with servers, some of which it may have crashed. Immutable.
 *
 * @param fingerprint the fingerprint of the request
 * @param servers the servers that were lost while they ran it; empty once a server answered it
 * @param tries how often it was lost again after a pause
 * @param ageMillis the time since the last loss, in milliseconds
 */
public record LossRecord(long fingerprint, List<LostServer> servers, int tries, long ageMillis) {

    public LossRecord {
        servers = List.copyOf(servers);
    }

    /** Returns the record of a request that a server answered. */
    public static LossRecord answered(long fingerprint) {
        return new LossRecord(fingerprint, List.of(), 0, 0);
    }

    /** Returns whether a server answered the request, which clears it. */
    public boolean isAnswered() {
        return servers.isEmpty();
    }

    /**
     * One incarnation of a server. Immutable.
     *
     * @param serverId the server's id
     * @param bornEpochMillis the start of the incarnation, in milliseconds since the epoch
     */
    public record LostServer(String serverId, long bornEpochMillis) {}
}
