package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.router.internal.front.Rejections;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.EndToEndHeaders;
import org.daisyscale.router.internal.request.ReplyBody;
import org.daisyscale.router.serving.CallerDialect;
import org.daisyscale.router.serving.WireReply;
import ratpack.handling.Context;
import ratpack.http.Response;

/** Writes final responses to callers, whole and with their length. Stateless. */
final class ReplyWriter {
    private static final int BAD_GATEWAY = 502;

    private ReplyWriter() {}

    /** Writes the response of a backend server unchanged. */
    static void writeReply(Context context, WireReply reply) {
        Response response = context.getResponse();
        response.status(reply.status());
        response.noCompress();
        EndToEndHeaders.pick(reply.headers())
                .forEach(header -> response.getHeaders().add(header.name(), header.value()));
        String length = reply.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        if (context.getRequest().getMethod().isHead() && length != null) {
            ReplyBody.sendWithoutBody(response, length);
        } else {
            ReplyBody.send(context, reply.body());
        }
    }

    private static int status(ServingAction.Reject rejection, CallerReply reply) {
        if (rejection.reason() == CoreErrorCode.OUTCOME_UNKNOWN) {
            return BAD_GATEWAY;
        }
        // The rejection of a suspect request ends by itself, so the caller may come again.
        boolean isTemporary = rejection.reason() == CoreErrorCode.SUSPECT_REQUEST && rejection.retryAfterMillis() > 0;
        return isTemporary ? HttpStatusCodes.SERVICE_UNAVAILABLE : reply.status();
    }

    /** Writes a rejection; its status says whether the request may have run. */
    static void writeRejection(Context context, ServingAction.Reject rejection, CallerDialect dialect) {
        Response response = context.getResponse();
        CallerReply reply = Rejections.reply(rejection.reason(), rejection.detail());
        response.status(status(rejection, reply));
        response.noCompress();
        reply.headers().forEach(header -> response.getHeaders().add(header.name(), header.value()));
        if (rejection.retryAfterMillis() > 0) {
            response.getHeaders()
                    .set(HttpHeaderNames.RETRY_AFTER.toString(), dialect.retryAfter(rejection.retryAfterMillis()));
        }
        ReplyBody.send(context, reply.body());
    }
}
