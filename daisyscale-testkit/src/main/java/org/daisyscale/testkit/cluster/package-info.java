/** Daisyscale processes and stand-ins on one machine, for the demonstration and the bench. */
package org.daisyscale.testkit.cluster;
