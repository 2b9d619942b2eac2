/** Contains the newest known map, the evidence that no newer one is in force, and the grants issued from it. */
package org.daisyscale.core.internal.ownership;
