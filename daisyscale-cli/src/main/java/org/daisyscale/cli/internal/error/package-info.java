/** Errors of the command line. */
package org.daisyscale.cli.internal.error;
