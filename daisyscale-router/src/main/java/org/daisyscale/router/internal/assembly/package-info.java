/** Assembles the duties of a router and stops them in order. */
package org.daisyscale.router.internal.assembly;
