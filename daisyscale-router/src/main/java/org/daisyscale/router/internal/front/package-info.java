/** The HTTP server for callers. */
package org.daisyscale.router.internal.front;
