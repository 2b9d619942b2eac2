package org.daisyscale.router.internal.serving;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import org.daisyscale.router.internal.http.ResponseHeadValidator;
import org.daisyscale.router.internal.http.ResponseRules;

/**
 * Decodes the responses on one connection. Unlike the decoder of Netty's client codec, it does not assume that
 * responses come in the order of the requests: a server may send one twice. A malformed head is reported at its first
 * malformed line. Not thread-safe; confined to the thread of its event loop.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final HttpConnection connection;
    private final ResponseHeadValidator headValidator = new ResponseHeadValidator();

    ResponseDecoder(HttpConnection connection) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setValidateHeaders(false));
        this.connection = connection;
    }

    /** A call of this method never consumes bytes of a head together with bytes behind it. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
        int startIndex = bytes.readerIndex();
        super.decode(context, bytes, messages);
        bytes.forEachByte(startIndex, bytes.readerIndex() - startIndex, headValidator);
        if (headValidator.isMalformed()) {
            replaceByInvalidMessage(messages);
        } else if (endsResponse(messages)) {
            headValidator.reset();
        }
    }

    private void replaceByInvalidMessage(List<Object> messages) {
        messages.forEach(ReferenceCountUtil::release);
        messages.clear();
        HttpMessage invalid = createInvalidMessage();
        invalid.setDecoderResult(DecoderResult.failure(new DecoderException(headValidator.problem())));
        messages.add(invalid);
    }

    private static boolean endsResponse(List<Object> messages) {
        return !messages.isEmpty() && messages.get(messages.size() - 1) instanceof LastHttpContent;
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
