package org.daisyscale.router.internal.serving;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.Optional;

/** Decodes heads of responses outside the pipeline of a connection. Stateless. */
final class ResponseHeads {
    private ResponseHeads() {}

    /** Returns the head with which {@code bytes} begin, unless it is incomplete or malformed. The bytes are kept. */
    static Optional<HttpResponse> decode(ByteBuf bytes) {
        EmbeddedChannel decoder = new EmbeddedChannel(new HttpResponseDecoder());
        try {
            decoder.writeInbound(bytes.retainedDuplicate());
            return decoder.readInbound() instanceof HttpResponse head
                            && head.decoderResult().isSuccess()
                    ? Optional.of(head)
                    : Optional.empty();
        } finally {
            decoder.finishAndReleaseAll();
        }
    }
}
