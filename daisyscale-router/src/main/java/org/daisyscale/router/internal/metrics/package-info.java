/** The metrics that the router exports. */
package org.daisyscale.router.internal.metrics;
