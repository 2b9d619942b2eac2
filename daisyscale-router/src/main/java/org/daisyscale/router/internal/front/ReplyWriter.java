package org.daisyscale.router.internal.front;

import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.ReplyBody;
import ratpack.handling.Context;
import ratpack.http.Response;

/** Writes a complete reply, uncompressed and with its length. Stateless. */
final class ReplyWriter {

    private ReplyWriter() {}

    static void write(Context context, CallerReply reply) {
        Response response = context.getResponse();
        response.status(reply.status());
        response.noCompress();
        reply.headers().forEach(header -> response.getHeaders().add(header.name(), header.value()));
        ReplyBody.send(context, reply.body());
    }
}
