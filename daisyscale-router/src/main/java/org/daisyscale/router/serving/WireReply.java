package org.daisyscale.router.serving;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete HTTP response. Immutable except for the array and the headers, which must not be modified.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record WireReply(int status, HttpHeaders headers, byte[] body) {}
