/** The document that operators write, its validation, and the configuration that contains it. */
package org.daisyscale.core.document;
