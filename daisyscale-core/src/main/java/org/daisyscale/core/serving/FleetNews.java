package org.daisyscale.core.serving;

/**
 * What one router saw of a request or a server and tells all others. Implementations are messages between routers. News
 * may be lost, delayed or repeated; they only let a router act sooner.
 */
public interface FleetNews {}
