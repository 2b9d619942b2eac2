/** The recorded trace of the core's events. */
package org.daisyscale.router.internal.trace;
