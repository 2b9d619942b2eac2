/** Callers' requests at their entry router: permits, orders, retries and hedges. */
package org.daisyscale.core.internal.entry;
