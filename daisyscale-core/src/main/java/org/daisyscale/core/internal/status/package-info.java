/** Reports the router's state to operators and completes planned stops. */
package org.daisyscale.core.internal.status;
