/** Output of text and JSON to operators. */
package org.daisyscale.cli.internal.output;
