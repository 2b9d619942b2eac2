/** Tracking of requests that crash backend servers. */
package org.daisyscale.core.internal.suspect;
