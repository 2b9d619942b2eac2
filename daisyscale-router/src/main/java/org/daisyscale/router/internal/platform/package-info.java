/** Implements the adapters of the platform's key-value service and the duties that call them. */
package org.daisyscale.router.internal.platform;
