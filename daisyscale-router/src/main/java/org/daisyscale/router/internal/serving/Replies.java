package org.daisyscale.router.internal.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.router.internal.front.Refusals;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.EndToEndHeaders;
import org.daisyscale.router.serving.CallerDialect;
import org.daisyscale.router.serving.WireReply;
import ratpack.http.Response;

/** Writes final answers, whole and with their length. Stateless. */
final class Replies {
    private static final int BAD_GATEWAY = 502;

    private Replies() {}

    /** Writes a backend server's answer as it is. */
    static void answer(Response response, WireReply reply) {
        response.status(reply.status());
        response.noCompress();
        EndToEndHeaders.pick(reply.headers())
                .forEach(header -> response.getHeaders().add(header.name(), header.value()));
        response.send(Unpooled.wrappedBuffer(reply.body()));
    }

    /** Writes a refusal; its status says whether the request may have run. */
    static void refusal(Response response, ServingAction.Reject refusal, CallerDialect dialect) {
        CallerReply reply = Refusals.reply(refusal.reason(), refusal.detail());
        response.status(refusal.reason() == CoreErrorCode.OUTCOME_UNKNOWN ? BAD_GATEWAY : reply.status());
        response.noCompress();
        reply.headers().forEach(header -> response.getHeaders().add(header.name(), header.value()));
        if (refusal.retryAfterMillis() > 0) {
            response.getHeaders()
                    .set(HttpHeaderNames.RETRY_AFTER.toString(), dialect.retryAfter(refusal.retryAfterMillis()));
        }
        response.send(Unpooled.wrappedBuffer(reply.body()));
    }
}
