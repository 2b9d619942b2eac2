/** Digests by which routers compare what they hold. */
package org.daisyscale.core.internal.digest;
