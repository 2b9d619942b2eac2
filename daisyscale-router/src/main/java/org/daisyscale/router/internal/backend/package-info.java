/** Sends orders, probes and grants to backend servers. */
package org.daisyscale.router.internal.backend;
