package org.daisyscale.router.internal.front;

import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.request.CallerReply;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.handling.Context;
import ratpack.http.ConnectionClosedException;

/** Replies to requests that failed before they reached the core; none of them was run. Stateless. */
final class ErrorReplies implements ServerErrorHandler, ClientErrorHandler {
    private static final int BODY_TOO_LARGE = 413;

    @Override
    public void error(Context context, Throwable failure) {
        if (failure instanceof ConnectionClosedException) {
            EventLog.debug("upload-cut", "path=" + context.getRequest().getPath());
        } else {
            EventLog.warn("request-failed", "path=" + context.getRequest().getPath(), failure);
        }
        send(
                context,
                Rejections.reply(
                        CoreErrorCode.INVARIANT_BROKEN, "the router failed before it had read the complete request"));
    }

    @Override
    public void error(Context context, int status) {
        if (status == BODY_TOO_LARGE) {
            send(context, Rejections.reply(CoreErrorCode.BODY_TOO_LARGE, "the body exceeds this router's size limit"));
        } else {
            send(context, Rejections.notRun(status, ShellErrorCode.MALFORMED_REQUEST, "HTTP status " + status));
        }
    }

    private static void send(Context context, CallerReply reply) {
        ReplyWriter.write(context, reply);
    }
}
