/** The commands of the command line. */
package org.daisyscale.cli.internal.command;
