/** The interfaces to the platform's key-value service and coordination store. */
package org.daisyscale.core.platform;
