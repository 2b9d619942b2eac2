/**
 * The duties that follow the platform's store: the thread of each prefix, its reads on a thread of their own, and what
 * they report. The decisions are in {@link org.daisyscale.core.following}.
 */
package org.daisyscale.router.internal.following;
