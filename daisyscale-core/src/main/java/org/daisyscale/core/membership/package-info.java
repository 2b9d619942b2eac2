/** Contains the VMs of routers and backend servers, and the status that servers report. */
package org.daisyscale.core.membership;
