/** Contains the ownership map, its slices and dispatch ranges, and the grants issued from it. */
package org.daisyscale.core.ownership;
