package org.daisyscale.testkit.backend;

/**
 * What a server counted in this life of its process. Immutable.
 *
 * @param orders the orders that came
 * @param wrongOwnerOrders the orders for a key that no valid grant covered
 * @param shedOrders the orders that came while every slot was taken
 * @param expiredOrders the orders that came past their deadline
 * @param drainedOrders the orders that came while it drained
 * @param coldOverloads how often it fell over
 * @param brokenOrders the orders that came while it was down
 * @param peakRunning the most requests that ran at once
 */
public record ServerCounters(
        long orders,
        long wrongOwnerOrders,
        long shedOrders,
        long expiredOrders,
        long drainedOrders,
        long coldOverloads,
        long brokenOrders,
        int peakRunning) {}
