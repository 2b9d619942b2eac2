package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.Consumer;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.router.serving.BackendDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;
import org.daisyscale.router.serving.WireReply;

/**
 * Identifies a process by its response to a health check. Immutable.
 *
 * @param dialect the protocol of backend servers
 * @param address the address of the process
 * @param serverId the id of the expected server
 * @param healthPath the path of the health check
 */
record HealthProcessCheck(BackendDialect dialect, Address address, String serverId, String healthPath)
        implements ProcessCheck {
    /** Timeout of the check, in milliseconds; below that of a grant, which waits for it. */
    private static final long TIMEOUT_MILLIS = 400;

    @Override
    public HttpCall createCall(Consumer<Verdict> onVerdict) {
        FullHttpRequest request = StoreClient.request(dialect.healthCheck(healthPath), address);
        dialect.addHealthCheckHeaders(request.headers(), serverId);
        return new HttpCall(
                address,
                request,
                TIMEOUT_MILLIS,
                dialect::match,
                end -> onVerdict.accept(end.isAnswered() ? verdict(end.reply()) : verdict(end.failure())));
    }

    private static Verdict verdict(HttpCall.Failure failure) {
        return failure == HttpCall.Failure.CONNECTION_REFUSED ? Verdict.REFUSED : Verdict.UNANSWERED;
    }

    private Verdict verdict(WireReply reply) {
        String statedId = dialect.health(reply).serverId();
        boolean isAnother = statedId.isEmpty()
                ? dialect.outcome(reply) == AttemptOutcome.REFUSED_NOT_OWNER
                : !statedId.equals(serverId);
        return isAnother ? Verdict.ANOTHER : Verdict.EXPECTED;
    }
}
