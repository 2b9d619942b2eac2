/** Decisions of the command line; performs no input or output. */
package org.daisyscale.cli.internal.decision;
