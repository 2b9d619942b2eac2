/** Manages the connections to the other routers: authenticated by a shared secret, with length-prefixed frames. */
package org.daisyscale.router.internal.peer;
