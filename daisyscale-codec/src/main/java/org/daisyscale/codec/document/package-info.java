/** Reads the operators' YAML document, reporting all problems at once, and writes it with all defaults filled in. */
package org.daisyscale.codec.document;
