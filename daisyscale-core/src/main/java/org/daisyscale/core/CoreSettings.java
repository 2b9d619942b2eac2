package org.daisyscale.core;

/**
 * The settings of a router's core, fixed for the lifetime of the process. Immutable.
 *
 * @param routerId the router's id, never reused: a restarted router has a new one
 * @param dataCentre the router's data centre
 * @param seed the seed of the core's random number generators
 * @param timing the intervals and timeouts of the ownership protocol
 * @param dispatch the dispatch policy and its limits
 */
public record CoreSettings(
        String routerId, String dataCentre, long seed, TimingSettings timing, DispatchSettings dispatch) {}
