package org.daisyscale.core.document;

/**
 * One accepted change of the configuration. Immutable.
 *
 * @param revision the revision that the change created
 * @param author the operator who made the change
 * @param summary a summary of the change
 * @param reason the reason given by the operator; empty if none was given
 * @param atEpochMillis when it was proposed, in milliseconds since the epoch on the proposing router's clock
 */
public record ConfigurationChange(long revision, String author, String summary, String reason, long atEpochMillis) {}
