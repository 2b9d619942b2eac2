package org.daisyscale.core.ownership;

import java.util.List;

/**
 * A fenced grant: the slices that a backend server may serve until a time on its own clock. A server that checks
 * grants accepts one only if its map version is at least the highest that the server has seen. Immutable.
 *
 * @param server the id of the backend server
 * @param incarnation the incarnation of the server that the grant is for
 * @param mapVersion the version of the map that the grant was issued from
 * @param expiresAtServerMillis when the grant expires, in milliseconds on the server's own clock
 * @param slices the granted slices
 */
public record Grant(
        String server, String incarnation, long mapVersion, long expiresAtServerMillis, List<GrantedSlice> slices) {

    public Grant {
        slices = List.copyOf(slices);
    }
}
