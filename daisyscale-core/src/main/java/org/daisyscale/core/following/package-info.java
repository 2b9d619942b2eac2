/**
 * How a router follows items of the platform's store that others write, told by the controller and with the store as
 * the fallback. Without input or output: events, the time and randomness are passed in.
 */
package org.daisyscale.core.following;
