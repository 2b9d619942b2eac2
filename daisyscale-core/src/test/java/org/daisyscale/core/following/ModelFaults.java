package org.daisyscale.core.following;

/**
 * What goes wrong in a model. Immutable.
 *
 * @param name the name in the test report
 * @param messageLossPercent how many messages are lost
 * @param isEverySecondDelivered whether of two messages of a kind on a link one arrives
 * @param maxMessageMillis the longest time that a message takes, in milliseconds
 * @param callFailurePercent how many calls to the store fail
 * @param isEverySecondAnswered whether of two calls of a router one is answered
 * @param maxCallMillis the longest time after which the store answers a call that needs no wait, in milliseconds
 * @param maxStaleMillis how much older than its request a listing may be, in milliseconds
 * @param areFollowersCut whether each call of a router that is not the controller fails
 * @param isFleetFaulty whether controllers are replaced, lost and frozen, links are cut and rings are full
 * @param isStoreFaulty whether the store has outages, after which items have lapsed, and drops its history
 */
record ModelFaults(
        String name,
        int messageLossPercent,
        boolean isEverySecondDelivered,
        long maxMessageMillis,
        int callFailurePercent,
        boolean isEverySecondAnswered,
        long maxCallMillis,
        long maxStaleMillis,
        boolean areFollowersCut,
        boolean isFleetFaulty,
        boolean isStoreFaulty) {

    /** How long a call to the store takes that fails, in milliseconds; the client gives it up then. */
    static final long FAILED_CALL_MILLIS = 600;

    /** The store is reached; the other routers may not be. */
    static final ModelFaults STORE_REACHED =
            new ModelFaults("store reached", 50, false, 100, 30, true, 100, 50, false, true, false);
    /** The controller is reached; the store is reached only by it. */
    static final ModelFaults CONTROLLER_REACHED =
            new ModelFaults("controller reached", 30, true, 100, 0, true, 100, 0, true, false, false);
    /** Nothing can be relied on. */
    static final ModelFaults ANYTHING =
            new ModelFaults("anything", 40, false, 1_500, 40, false, 900, 3_000, false, true, true);

    @Override
    public String toString() {
        return name;
    }

    /** Nothing goes wrong. */
    static final ModelFaults NONE = new ModelFaults("none", 0, true, 40, 0, true, 40, 0, false, false, false);

    /** Returns whether each change must be known within the time limit by each router that runs. */
    boolean isLimitKept() {
        return this != ANYTHING;
    }
}
