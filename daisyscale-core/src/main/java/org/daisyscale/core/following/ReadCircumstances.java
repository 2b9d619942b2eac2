package org.daisyscale.core.following;

import org.daisyscale.core.serving.EventTime;

/**
 * What is known about a read of the store. Immutable.
 *
 * @param changedAt when the changes in the response were made
 * @param mayHaveLapsed whether an item may be missing only because its writer did not reach the store in time
 */
public record ReadCircumstances(EventTime changedAt, boolean mayHaveLapsed) {}
