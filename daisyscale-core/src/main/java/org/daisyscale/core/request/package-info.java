/** Requests, permits and the outcomes of orders. */
package org.daisyscale.core.request;
