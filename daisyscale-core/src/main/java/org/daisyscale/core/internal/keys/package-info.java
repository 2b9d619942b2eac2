/** Grants, moves and rebalances key ranges. */
package org.daisyscale.core.internal.keys;
