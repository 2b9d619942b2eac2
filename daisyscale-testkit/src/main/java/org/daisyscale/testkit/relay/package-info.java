/** A relay that cuts or delays connections. */
package org.daisyscale.testkit.relay;
