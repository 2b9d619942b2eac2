package org.daisyscale.core.membership;

/**
 * A backend server's own answer to a probe, which may be stale or wrong. Immutable.
 *
 * @param incarnation the id of the server process's incarnation
 * @param clockMillis the server's own clock at the time of the answer, in milliseconds
 * @param isDraining whether the server requests to get no new work
 * @param runningCount the number of requests that the server reports as running
 * @param load the reported load as a fraction of capacity, 1.0 when full
 * @param grantedMapVersion the highest map version that the server has seen in a grant; 0 for none
 */
public record ServerStatus(
        String incarnation,
        long clockMillis,
        boolean isDraining,
        int runningCount,
        double load,
        long grantedMapVersion) {}
