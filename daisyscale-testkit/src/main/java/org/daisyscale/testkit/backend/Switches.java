package org.daisyscale.testkit.backend;

/**
 * What a test switches at a running server. Immutable.
 *
 * @param isDraining whether the server wants no new work
 * @param slowFactor what service times are multiplied by
 */
public record Switches(boolean isDraining, double slowFactor) {}
