package org.daisyscale.cli.internal.decision;

/**
 * The reason why an operation is dangerous. Immutable.
 *
 * @param reason what the operation would leave in service
 * @param isForceable whether the operator may force the operation by giving a reason
 */
public record Danger(String reason, boolean isForceable) {}
