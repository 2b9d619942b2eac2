/** Allowances over all routers: the controller reserves credits, and routers spend them. Without input or output. */
package org.daisyscale.core.quota;
