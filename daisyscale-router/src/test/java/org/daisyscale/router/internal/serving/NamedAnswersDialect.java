package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.CallerIdentity;
import org.daisyscale.core.serving.HealthReport;
import org.daisyscale.core.serving.LoadReport;
import org.daisyscale.core.serving.ServerNotice;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.BackendDialect;
import org.daisyscale.router.serving.WireCall;
import org.daisyscale.router.serving.WireReply;

/** A dialect in which the header {@code Id} names the request in requests and responses. Stateless. */
class NamedAnswersDialect implements BackendDialect {
    private static final int MISDIRECTED = 421;

    @Override
    public void setCaller(HttpHeaders headers, CallerIdentity caller) {}

    @Override
    public void addRequestHeaders(HttpHeaders headers, BackendServer server, long timeLeftMillis) {
        headers.set("Left", timeLeftMillis);
    }

    @Override
    public Optional<String> requestId(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("Id"));
    }

    @Override
    public AnswerMatch match(HttpHeaders requestHeaders, HttpHeaders answerHeaders) {
        if (answerHeaders.get("Id") == null) {
            return AnswerMatch.UNNAMED;
        }
        return answerHeaders.get("Id").equals(requestHeaders.get("Id"))
                ? AnswerMatch.THIS_REQUEST
                : AnswerMatch.ANOTHER_REQUEST;
    }

    @Override
    public AttemptOutcome outcome(WireReply reply) {
        return reply.status() == MISDIRECTED ? AttemptOutcome.REFUSED_NOT_OWNER : AttemptOutcome.ANSWERED;
    }

    @Override
    public Optional<LoadReport> load(HttpHeaders answerHeaders) {
        return Optional.empty();
    }

    @Override
    public ServerNotice notice(WireReply reply) {
        return ServerNotice.NONE;
    }

    @Override
    public WireCall healthCheck(String healthPath) {
        return WireCall.of("GET", healthPath);
    }

    @Override
    public void addHealthCheckHeaders(HttpHeaders headers, String serverId) {
        headers.set("Expected", serverId);
    }

    @Override
    public HealthReport health(WireReply reply) {
        return new HealthReport(
                reply.headers().get("Server-Id", ""), reply.headers().getInt("Cold-Left", 0));
    }

    @Override
    public WireCall grant(int firstKey, int lastKey, long fence, long holdMillis, String handover) {
        return new WireCall("POST", "/grant", new byte[0]);
    }

    @Override
    public WireCall release(int firstKey, int lastKey, long fence) {
        return new WireCall("POST", "/release", new byte[0]);
    }

    @Override
    public String handover(HttpHeaders answerHeaders) {
        return "";
    }

    @Override
    public boolean isFromAnotherProcess(WireReply reply) {
        return false;
    }

    @Override
    public boolean isFenceTooLow(WireReply reply) {
        return false;
    }
}
