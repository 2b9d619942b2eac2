/** The stable error codes of the core and the base types for the errors of all layers. */
package org.daisyscale.core.error;
