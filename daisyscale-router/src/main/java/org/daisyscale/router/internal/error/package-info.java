/** The errors of the router's shell. */
package org.daisyscale.router.internal.error;
