package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.HttpHeaders;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.WireReply;

/**
 * A dialect in which a response without an id belongs to a call without one, as to grants, releases and health checks.
 * Stateless.
 */
final class UnnamedControlDialect extends NamedAnswersDialect {
    private static final int CONFLICT = 409;

    @Override
    public AnswerMatch match(HttpHeaders requestHeaders, HttpHeaders answerHeaders) {
        boolean isUnnamed = requestHeaders.get("Id") == null && answerHeaders.get("Id") == null;
        return isUnnamed ? AnswerMatch.THIS_REQUEST : super.match(requestHeaders, answerHeaders);
    }

    @Override
    public boolean isFenceTooLow(WireReply reply) {
        return reply.status() == CONFLICT;
    }
}
