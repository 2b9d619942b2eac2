/** The duties around the decisions of a router that assigns requests to backend servers itself. */
package org.daisyscale.router.internal.serving;
