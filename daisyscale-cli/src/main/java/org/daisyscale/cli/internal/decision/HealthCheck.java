package org.daisyscale.cli.internal.decision;

/**
 * The result of checking one guarantee against the states that routers report. Immutable.
 *
 * @param name the guarantee
 * @param isPassing whether it holds
 * @param detail the figures or names that explain the result
 */
public record HealthCheck(String name, boolean isPassing, String detail) {}
