/** Log lines with event names, as text or JSON. */
package org.daisyscale.router.internal.log;
