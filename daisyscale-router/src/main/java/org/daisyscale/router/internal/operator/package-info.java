/** The HTTP server for operators and monitoring. */
package org.daisyscale.router.internal.operator;
