package org.daisyscale.cli.internal.router;

/**
 * An HTTP response. Immutable.
 *
 * @param status the status code
 * @param body the body as text
 */
record HttpResponse(int status, String body) {}
