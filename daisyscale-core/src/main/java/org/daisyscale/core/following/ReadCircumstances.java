package org.daisyscale.core.following;

/**
 * What is known about a read of the store. Immutable.
 *
 * @param maxAgeMillis the longest time since the changes in the response were made, in milliseconds
 * @param mayHaveLapsed whether an item may be missing only because its writer did not reach the store in time
 */
public record ReadCircumstances(long maxAgeMillis, boolean mayHaveLapsed) {}
