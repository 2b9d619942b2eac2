/** Implements the decisions of the request path: routing, placement, limits, retries and rejections. */
package org.daisyscale.core.internal.serving;
