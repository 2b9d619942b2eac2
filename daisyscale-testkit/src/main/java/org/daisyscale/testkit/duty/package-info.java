/** The thread of one duty with its bounded ring. */
package org.daisyscale.testkit.duty;
