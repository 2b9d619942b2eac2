package org.daisyscale.router.internal.front;

import io.netty.buffer.Unpooled;
import org.daisyscale.router.internal.request.CallerReply;
import ratpack.http.Response;

/** Writes a complete reply, uncompressed and with its length. Stateless. */
final class ReplyWriter {

    private ReplyWriter() {}

    static void write(Response response, CallerReply reply) {
        response.status(reply.status());
        response.noCompress();
        reply.headers().forEach(header -> response.getHeaders().add(header.name(), header.value()));
        response.send(Unpooled.wrappedBuffer(reply.body()));
    }
}
