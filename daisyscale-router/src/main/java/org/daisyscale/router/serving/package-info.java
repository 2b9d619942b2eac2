/**
 * A router that assigns requests to backend servers itself, and the interfaces through which an adapter describes the
 * protocols of a platform.
 */
package org.daisyscale.router.serving;
