/** The stand-in for the platform's service and its list of VMs. */
package org.daisyscale.testkit.platform;
