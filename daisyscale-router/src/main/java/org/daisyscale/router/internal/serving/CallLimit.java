package org.daisyscale.router.internal.serving;

/**
 * How long a call may take. An answer that is coming isn't given up for its size: what counts is the time until it
 * begins and the time in which nothing more of it comes. Immutable.
 *
 * @param beginMillis the time until the answer begins, in milliseconds
 * @param pauseMillis how long nothing more of an answer that began may come, in milliseconds
 * @param wholeMillis the time for the whole answer, in milliseconds
 */
record CallLimit(long beginMillis, long pauseMillis, long wholeMillis) {

    /** Only the whole answer has a limit. */
    static CallLimit ofWhole(long wholeMillis) {
        return new CallLimit(wholeMillis, wholeMillis, wholeMillis);
    }

    /**
     * What is left of the time, in milliseconds; zero or less when it is over.
     *
     * @param ageMillis the time since the call was made
     * @param hasBegun whether a part of the answer has come
     * @param quietMillis the time since the last part of the answer came
     */
    long leftMillis(long ageMillis, boolean hasBegun, long quietMillis) {
        long partMillis = hasBegun ? pauseMillis - quietMillis : beginMillis - ageMillis;
        return Math.min(partMillis, wholeMillis - ageMillis);
    }
}
