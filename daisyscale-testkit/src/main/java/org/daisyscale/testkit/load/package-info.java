/** The open-loop load program. */
package org.daisyscale.testkit.load;
