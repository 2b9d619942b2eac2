/** HTTP client for threads that may block. */
package org.daisyscale.router.internal.http;
