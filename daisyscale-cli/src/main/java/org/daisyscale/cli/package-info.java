/** The command line for operators. */
package org.daisyscale.cli;
