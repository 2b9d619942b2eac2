/** The state of a router as reported to operators. */
package org.daisyscale.core.status;
