package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.serving.ServingAction;
import org.daisyscale.core.serving.ServingEvent;
import org.daisyscale.router.internal.log.EventLog;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.ring.Ring;
import org.daisyscale.router.serving.CallerDialect;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/**
 * Reads a caller's request whole, hands it to the decisions and writes the answer in the connection's order. Safe for
 * use by several threads.
 */
final class ServingHandler implements Handler {
    /** Another router can take a request at once; this spreads those who come back, in milliseconds. */
    private static final long SOON_MILLIS = 20;

    private final CallerDialect dialect;
    private final Ring<ServingEvent> events;
    private final Exchanges exchanges;
    private final CallerConnections connections;
    private final ByteBudget budget;
    private final ServingMetrics metrics;
    private final LoopLags lags = new LoopLags();
    private final AtomicLong lastRequestId = new AtomicLong();

    ServingHandler(
            CallerDialect dialect,
            Ring<ServingEvent> events,
            Exchanges exchanges,
            CallerConnections connections,
            ByteBudget budget,
            ServingMetrics metrics) {
        this.dialect = dialect;
        this.events = events;
        this.exchanges = exchanges;
        this.connections = connections;
        this.budget = budget;
        this.metrics = metrics;
    }

    @Override
    public void handle(Context context) {
        Channel channel = context.getDirectChannelAccess().getChannel();
        connections.use(channel);
        AnswerOrder.Turn turn = AnswerOrder.of(channel).next();
        context.onClose(outcome -> channel.eventLoop().execute(turn::done));
        long requestId = lastRequestId.incrementAndGet();
        ByteBudget.Reservation reservation = budget.tryReserve(
                        Math.max(0, context.getRequest().getContentLength()))
                .orElse(null);
        if (reservation == null) {
            respond(context, turn, refused(requestId, CoreErrorCode.OVERLOADED, "the buffers are full"));
            return;
        }
        context.getExecution().onComplete(reservation);
        if (connections.isRefusing()) {
            respond(context, turn, stopping(requestId));
            return;
        }
        long maxBodyBytes = exchanges.maxBodyBytes();
        context.getRequest()
                .getBody(
                        maxBodyBytes,
                        () -> respond(
                                context, turn, refused(requestId, CoreErrorCode.BODY_TOO_LARGE, "max " + maxBodyBytes)))
                .map(body -> body.getBytes())
                .flatMap(body -> {
                    reservation.grow(Math.max(
                            0, body.length - Math.max(0, context.getRequest().getContentLength())));
                    return decide(context.getRequest(), requestId, body, channel);
                })
                .flatMap(outcome -> inTurn(turn, outcome))
                .then(outcome -> write(context, outcome));
    }

    private Promise<Exchange.Outcome> decide(Request request, long requestId, byte[] body, Channel channel) {
        if (connections.isRefusing()) {
            return Promise.value(stopping(requestId));
        }
        long cameNanos = System.nanoTime() - lags.of(channel.eventLoop()).behindNanos();
        ChannelFutureListener onGone = closed -> left(requestId);
        return Promise.<Exchange.Outcome>async(downstream -> {
                    Exchange exchange = exchange(request, requestId, body, downstream::success);
                    exchanges.add(exchange);
                    channel.closeFuture().addListener(onGone);
                    if (!events.offer(new ServingEvent.RequestArrived(requestId, exchange.head(), cameNanos))) {
                        metrics.ringFull(events.name());
                        exchanges.remove(requestId);
                        exchange.end(refused(requestId, CoreErrorCode.OVERLOADED, "the router's queue is full"));
                    }
                })
                .wiretap(result -> channel.closeFuture().removeListener(onGone));
    }

    private Exchange exchange(Request request, long requestId, byte[] body, Consumer<Exchange.Outcome> onOutcome) {
        HttpHeaders headers =
                new DefaultHttpHeaders(false).add(request.getHeaders().getNettyHeaders());
        String target = request.getRawUri();
        int queryAt = target.indexOf('?');
        String path = queryAt < 0 ? target : target.substring(0, queryAt);
        String method = request.getMethod().getName();
        return new Exchange(
                requestId, dialect.readHead(path, headers, body.length), method, target, headers, body, onOutcome);
    }

    private void left(long requestId) {
        if (exchanges.leave(requestId) && !events.offer(new ServingEvent.CallerLeft(requestId))) {
            exchanges.takeLeft(requestId);
            metrics.ringFull(events.name());
            EventLog.warn("caller-left-untold", "request=" + requestId + " the decisions' ring is full");
        }
    }

    private static Exchange.Outcome stopping(long requestId) {
        return refused(requestId, CoreErrorCode.STOPPING, "another router is ready");
    }

    private static Exchange.Outcome refused(long requestId, CoreErrorCode reason, String detail) {
        return new Exchange.Outcome.Refused(new ServingAction.Reject(requestId, reason, detail, SOON_MILLIS));
    }

    private void respond(Context context, AnswerOrder.Turn turn, Exchange.Outcome outcome) {
        inTurn(turn, outcome).then(ready -> write(context, ready));
    }

    private static Promise<Exchange.Outcome> inTurn(AnswerOrder.Turn turn, Exchange.Outcome outcome) {
        return Promise.async(downstream -> turn.ready(() -> downstream.success(outcome)));
    }

    private void write(Context context, Exchange.Outcome outcome) {
        if (connections.isClosing()) {
            context.getResponse().forceCloseConnection();
        }
        if (outcome instanceof Exchange.Outcome.Answered answered) {
            Replies.answer(context.getResponse(), answered.reply());
        } else if (outcome instanceof Exchange.Outcome.Refused refused) {
            Replies.refusal(context.getResponse(), refused.refusal(), dialect);
        }
    }
}
