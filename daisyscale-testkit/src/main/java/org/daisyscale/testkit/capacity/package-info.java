/** Measures what control costs a router at rising sizes, on the real core and codec. */
package org.daisyscale.testkit.capacity;
