package org.daisyscale.router.internal.serving;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.function.Consumer;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.serving.BackendDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/** Sends health checks to backend servers and reports their responses. Thread-safe. */
final class HealthCheckSender {
    /** Timeout of a check, in milliseconds: later, the response says little about the server now. */
    private static final long TIMEOUT_MILLIS = 400;

    private final HttpLoop loop;
    private final BackendDialect dialect;
    private final Consumer<ServingEvent> onResponse;

    HealthCheckSender(HttpLoop loop, BackendDialect dialect, Consumer<ServingEvent> onResponse) {
        this.loop = loop;
        this.dialect = dialect;
        this.onResponse = onResponse;
    }

    void send(ServingAction.CheckHealth check) {
        BackendServer server = check.server();
        Address address = new Address(server.host(), server.port());
        FullHttpRequest request = StoreClient.request(dialect.healthCheck(check.healthPath()), address);
        dialect.addHealthCheckHeaders(request.headers(), server.id());
        HttpCall call = new HttpCall(address, request, TIMEOUT_MILLIS, dialect::match, end -> handleEnd(server, end));
        call.identifyBy(dialect::requestId);
        call.expireUnsentAt(System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L);
        loop.start(call);
    }

    private void handleEnd(BackendServer server, HttpCall.End end) {
        if (end.isAnswered()) {
            onResponse.accept(new ServingEvent.HealthReported(server, dialect.health(end.reply())));
        }
    }
}
