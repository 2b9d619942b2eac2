/** Contains the VMs that the platform lists. */
package org.daisyscale.core.internal.membership;
