package org.daisyscale.core.following;

import org.daisyscale.core.serving.RoutingTableChange;

/**
 * How a routing table in an update differs from the one that the follower holds. Immutable.
 *
 * @param revision the store's revision of the configuration that the newer table was read from
 * @param change the change that leads to the newer table
 */
public record TableUpdate(long revision, RoutingTableChange change) {}
