package org.daisyscale.router.internal.serving;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.function.Consumer;
import org.daisyscale.core.serving.AttemptOutcome;
import org.daisyscale.core.serving.BackendServer;
import org.daisyscale.core.serving.LoadReport;
import org.daisyscale.core.serving.ServerNotice;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.request.EndToEndHeaders;
import org.daisyscale.router.serving.BackendDialect;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/** Sends requests to backend servers and reports the outcome of each attempt. Thread-safe. */
final class AttemptSender {
    /**
     * Margin by which the timeout of a call exceeds the time left for the request, in milliseconds: the core cancels
     * the attempt before that.
     */
    private static final long TIMEOUT_MARGIN_MILLIS = 1_000;

    /**
     * How long an attempt may wait in this router before it is sent, in milliseconds. A caller that leaves meanwhile
     * must not have its request sent long after.
     */
    private static final long MAX_UNSENT_MILLIS = 300;

    private final HttpLoop loop;
    private final BackendDialect dialect;
    private final Consumer<ServingEvent.AttemptEnded> onEnded;

    AttemptSender(HttpLoop loop, BackendDialect dialect, Consumer<ServingEvent.AttemptEnded> onEnded) {
        this.loop = loop;
        this.dialect = dialect;
        this.onEnded = onEnded;
    }

    void send(Exchange exchange, ServingAction.SendAttempt action) {
        BackendServer server = action.server();
        Address address = new Address(server.host(), server.port());
        HttpCall call = new HttpCall(
                address,
                request(exchange, action),
                action.timeLeftMillis() + TIMEOUT_MARGIN_MILLIS,
                dialect::match,
                end -> handleEnd(exchange, action.attempt(), end));
        call.identifyBy(dialect::requestId);
        call.addressTo(server.id());
        long maxUnsentMillis = Math.min(MAX_UNSENT_MILLIS, action.timeLeftMillis());
        call.expireUnsentAt(System.nanoTime() + maxUnsentMillis * 1_000_000L);
        exchange.startAttempt(server.id(), call);
        loop.start(call);
    }

    void cancel(Exchange exchange) {
        if (exchange.call() != null) {
            loop.cancel(exchange.call());
        }
    }

    private FullHttpRequest request(Exchange exchange, ServingAction.SendAttempt action) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(exchange.method()),
                exchange.target(),
                Unpooled.wrappedBuffer(exchange.body()));
        EndToEndHeaders.pick(exchange.headers())
                .forEach(header -> request.headers().add(header.name(), header.value()));
        request.headers().set(HttpHeaderNames.HOST, exchange.head().host());
        if (exchange.body().length > 0 || declaresBody(exchange)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().length);
        }
        if (action.caller().isVerified()) {
            dialect.setCaller(request.headers(), action.caller());
        }
        dialect.addRequestHeaders(request.headers(), action.server(), action.timeLeftMillis());
        return request;
    }

    private static boolean declaresBody(Exchange exchange) {
        return exchange.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || exchange.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private void handleEnd(Exchange exchange, int attempt, HttpCall.End end) {
        AttemptOutcome outcome = end.isAnswered() ? dialect.outcome(end.reply()) : outcomeOf(end.failure());
        Optional<LoadReport> load = end.isAnswered() ? dialect.load(end.reply().headers()) : Optional.empty();
        boolean isTrusted = end.isAnswered() && outcome != AttemptOutcome.SPOILED;
        ServerNotice notice = isTrusted ? dialect.notice(end.reply()) : ServerNotice.NONE;
        if (end.isAnswered()) {
            exchange.recordReply(end.reply());
        }
        long responseBytes = end.isAnswered() ? end.reply().body().length : 0;
        onEnded.accept(
                new ServingEvent.AttemptEnded(exchange.requestId(), attempt, outcome, load, notice, responseBytes));
    }

    private static AttemptOutcome outcomeOf(HttpCall.Failure failure) {
        return switch (failure) {
            case NOT_SENT, UNPROVED, OTHER_PROCESS -> AttemptOutcome.NOT_SENT;
            case EXPIRED -> AttemptOutcome.EXPIRED;
            case CONNECTION_REFUSED -> AttemptOutcome.CONNECTION_REFUSED;
            case LOST -> AttemptOutcome.LOST;
            case SPOILED -> AttemptOutcome.SPOILED;
        };
    }
}
