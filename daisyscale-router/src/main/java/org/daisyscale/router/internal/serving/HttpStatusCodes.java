package org.daisyscale.router.internal.serving;

/** HTTP status codes that several types of this package use. Source: RFC 9110. */
final class HttpStatusCodes {
    static final int OK = 200;
    static final int FIRST_ERROR = 400;
    static final int SERVICE_UNAVAILABLE = 503;

    private HttpStatusCodes() {}
}
