/** The router's settings, from flags and environment variables. */
package org.daisyscale.router.internal.settings;
