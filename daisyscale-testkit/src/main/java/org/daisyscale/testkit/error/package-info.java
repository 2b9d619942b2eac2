/** The coded errors of the testkit. */
package org.daisyscale.testkit.error;
