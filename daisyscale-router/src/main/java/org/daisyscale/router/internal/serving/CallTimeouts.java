package org.daisyscale.router.internal.serving;

/**
 * The timeouts of one call. The size of a response does not matter: only the time until its first part, the time
 * between its parts and the total time are limited. Immutable.
 *
 * @param firstPartMillis the time until the first part of the response arrives, in milliseconds
 * @param idleMillis the longest time between two parts of the response, in milliseconds
 * @param totalMillis the time for the whole response, in milliseconds
 */
record CallTimeouts(long firstPartMillis, long idleMillis, long totalMillis) {

    /** Returns timeouts that limit only the time for the whole response. */
    static CallTimeouts ofTotal(long totalMillis) {
        return new CallTimeouts(totalMillis, totalMillis, totalMillis);
    }

    /**
     * Returns the time left before the call times out, in milliseconds; zero or less when it has timed out.
     *
     * @param ageMillis the time since the call was started
     * @param hasBegun whether a part of the response has arrived
     * @param quietMillis the time since the last part of the response arrived
     */
    long remainingMillis(long ageMillis, boolean hasBegun, long quietMillis) {
        long partMillis = hasBegun ? idleMillis - quietMillis : firstPartMillis - ageMillis;
        return Math.min(partMillis, totalMillis - ageMillis);
    }
}
