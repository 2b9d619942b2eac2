package org.daisyscale.testkit.backend;

/**
 * The cold start of a server. Immutable.
 *
 * @param requestCount the requests after whose answers the server is warm; 0 for a server that is never cold
 * @param slotCount the requests that it bears at once while cold; with more it falls over
 * @param factor what service times are multiplied by while cold
 * @param downMillis how long it answers everything with an error after it fell over, in milliseconds
 */
public record ColdSettings(int requestCount, int slotCount, double factor, long downMillis) {

    /** No cold start. */
    public static ColdSettings none() {
        return new ColdSettings(0, Integer.MAX_VALUE, 1, 0);
    }
}
