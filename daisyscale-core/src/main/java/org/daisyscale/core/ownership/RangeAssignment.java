package org.daisyscale.core.ownership;

/**
 * The dispatcher of one dispatch range: the only router that hands out the slots of the range's backend servers.
 * Immutable.
 *
 * @param service the service
 * @param range the index of the range, from 0
 * @param router the router that dispatches
 * @param epoch increases with each change of the router
 * @param firstEpoch the epoch of the first assignment of the range
 * @param predecessor the previous router while it may still dispatch; empty once it no longer can
 */
public record RangeAssignment(
        String service, int range, String router, long epoch, long firstEpoch, String predecessor) {

    /** Returns whether no router has dispatched the range before. */
    public boolean isFirst() {
        return epoch == firstEpoch;
    }

    /** Returns whether the router may dispatch now according to the map. */
    public boolean isSettled() {
        return predecessor.isEmpty();
    }
}
