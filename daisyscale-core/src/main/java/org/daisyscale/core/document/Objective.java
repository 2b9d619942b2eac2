package org.daisyscale.core.document;

/**
 * A service-level objective: the percentage of requests that must be answered in time. Immutable.
 *
 * @param goodPercent the percentage of requests that must be good, such as 99.9
 * @param latencyMillis the latency above which an answered request is not good, in milliseconds
 */
public record Objective(double goodPercent, long latencyMillis) {}
