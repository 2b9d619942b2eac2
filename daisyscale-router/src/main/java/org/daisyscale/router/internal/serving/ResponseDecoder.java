package org.daisyscale.router.internal.serving;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.daisyscale.router.internal.http.ResponseRules;

/**
 * Decodes the responses on one connection. Unlike the decoder of Netty's client codec, it does not assume that
 * responses come in the order of the requests: a server may send one twice. Not thread-safe; confined to the thread of
 * its event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final HttpConnection connection;

    ResponseDecoder(HttpConnection connection) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setValidateHeaders(false));
        this.connection = connection;
    }

    /** Creates the head of a response; a status that is none makes the response invalid. */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!ResponseRules.isStatus(initialLine[1])) {
            throw new IllegalArgumentException("status is not three digits from 100 to 599: " + initialLine[1]);
        }
        return super.createMessage(initialLine);
    }

    /** Returns whether {@code response} ends only when the connection does. */
    boolean isEndedByClose(HttpResponse response) {
        return !isContentAlwaysEmpty(response) && ResponseRules.isEndedByClose(response.headers());
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return super.isContentAlwaysEmpty(message) || connection.hasNoBody((HttpResponse) message);
    }

    /** Returns the bytes that were received and not decoded yet; valid until the next read, and not to be released. */
    ByteBuf undecodedBytes() {
        return internalBuffer();
    }
}
