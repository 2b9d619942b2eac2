/** The thread of a duty, and the duty that runs the decision core. */
package org.daisyscale.router.internal.duty;
