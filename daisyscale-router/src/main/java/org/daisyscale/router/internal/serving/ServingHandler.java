package org.daisyscale.router.internal.serving;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeUnit;
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
 * Reads a whole request, passes it to the decisions and writes the response in the order of the connection.
 * Thread-safe.
 */
final class ServingHandler implements Handler {
    /**
     * Retry-after time of a rejection by this router itself, in milliseconds. Another router can take the request at
     * once; the time spreads the retries.
     */
    private static final long RETRY_AFTER_MILLIS = 20;
    /**
     * Lag of an event loop above which a request waits for the next turn of the loop, in milliseconds: its caller may
     * have left already, and the close is read only in the turn after the request.
     */
    private static final long LARGE_LAG_MILLIS = 100;
    /** Part of the budget that the responses which one connection did not read may take. */
    private static final long CONNECTION_SHARE = 8;
    /** Delay until the next turn of an event loop, in milliseconds. */
    private static final long NEXT_TURN_MILLIS = 1;

    private final CallerDialect dialect;
    private final Ring<ServingEvent> events;
    private final ExchangeRegistry exchanges;
    private final CallerConnections connections;
    private final ByteBudget budget;
    private final ServingMetrics metrics;
    private final LoopLags lags = new LoopLags();
    private final AtomicLong lastRequestId = new AtomicLong();

    ServingHandler(
            CallerDialect dialect,
            Ring<ServingEvent> events,
            ExchangeRegistry exchanges,
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
        AcceptedTogether.allowMany(channel);
        connections.add(channel);
        ResponseOrder.PendingResponse response = ResponseOrder.of(channel).append();
        context.onClose(outcome -> channel.eventLoop().execute(response::complete));
        long requestId = lastRequestId.incrementAndGet();
        ByteBudget.Reservation reservation = budget.tryReserve(
                        Math.max(0, context.getRequest().getContentLength()))
                .orElse(null);
        if (reservation == null) {
            respond(context, response, rejected(requestId, CoreErrorCode.OVERLOADED, "the buffers are full"));
            return;
        }
        context.getExecution().onComplete(reservation);
        if (connections.isRejecting()) {
            respond(context, response, rejectedAsStopping(requestId));
            return;
        }
        if (ResponseOrder.of(channel).isFull(budget.limitBytes() / CONNECTION_SHARE)) {
            metrics.callerFull();
            respond(context, response, rejected(requestId, CoreErrorCode.OVERLOADED, "the caller reads no responses"));
            return;
        }
        long maxBodyBytes = exchanges.maxBodyBytes();
        context.getRequest()
                .getBody(
                        maxBodyBytes,
                        () -> respond(
                                context,
                                response,
                                rejected(requestId, CoreErrorCode.BODY_TOO_LARGE, "max " + maxBodyBytes)))
                .map(body -> body.getBytes())
                .flatMap(body -> {
                    reservation.grow(Math.max(
                            0, body.length - Math.max(0, context.getRequest().getContentLength())));
                    return decide(context.getRequest(), requestId, body, channel, response);
                })
                .flatMap(outcome -> {
                    hold(context, response, outcome);
                    return awaitTurn(response, outcome);
                })
                .then(outcome -> write(context, response, outcome));
    }

    private Promise<Exchange.Outcome> decide(
            Request request, long requestId, byte[] body, Channel channel, ResponseOrder.PendingResponse response) {
        LoopLag lag = lags.of(channel.eventLoop());
        long arrivedNanos = System.nanoTime() - lag.lagNanos();
        if (lag.recentLagNanos() < LARGE_LAG_MILLIS * 1_000_000L) {
            return decide(request, requestId, body, channel, response, arrivedNanos);
        }
        return Promise.<Boolean>async(downstream -> scheduleNextTurn(
                        channel, () -> scheduleNextTurn(channel, () -> downstream.success(channel.isActive()))))
                .flatMap(isActive -> isActive
                        ? decide(request, requestId, body, channel, response, arrivedNanos)
                        : Promise.value(rejected(requestId, CoreErrorCode.OVERLOADED, "the caller has left")));
    }

    /** Runs {@code task} at the end of this turn of the event loop; if called at the end of one, of the next. */
    private static void scheduleNextTurn(Channel channel, Runnable task) {
        channel.eventLoop().schedule(task, NEXT_TURN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private Promise<Exchange.Outcome> decide(
            Request request,
            long requestId,
            byte[] body,
            Channel channel,
            ResponseOrder.PendingResponse response,
            long arrivedNanos) {
        if (connections.isRejecting() || !response.tryPassOn(connections.isClosing())) {
            return Promise.value(rejectedAsStopping(requestId));
        }
        ChannelFutureListener onClosed = closed -> handleCallerLeft(requestId);
        return Promise.<Exchange.Outcome>async(downstream -> {
                    Exchange exchange = createExchange(request, requestId, body, downstream::success);
                    exchanges.add(exchange);
                    response.onGivenUp(() -> giveUp(exchange));
                    channel.closeFuture().addListener(onClosed);
                    if (!events.offer(arrival(exchange, arrivedNanos))) {
                        metrics.ringFull(events.name());
                        exchanges.remove(requestId);
                        exchange.end(rejected(requestId, CoreErrorCode.OVERLOADED, "the router's queue is full"));
                    }
                })
                .wiretap(result -> channel.closeFuture().removeListener(onClosed));
    }

    private static ServingEvent arrival(Exchange exchange, long arrivedNanos) {
        long fingerprint = RequestFingerprint.of(exchange.method(), exchange.target(), exchange.body());
        return new ServingEvent.RequestArrived(exchange.requestId(), exchange.head(), fingerprint, arrivedNanos);
    }

    private Exchange createExchange(
            Request request, long requestId, byte[] body, Consumer<Exchange.Outcome> onOutcome) {
        HttpHeaders headers =
                new DefaultHttpHeaders(false).add(request.getHeaders().getNettyHeaders());
        String target = request.getRawUri();
        int queryAt = target.indexOf('?');
        String path = queryAt < 0 ? target : target.substring(0, queryAt);
        String method = request.getMethod().getName();
        return new Exchange(
                requestId, dialect.readHead(path, headers, body.length), method, target, headers, body, onOutcome);
    }

    private void handleCallerLeft(long requestId) {
        if (exchanges.abandon(requestId) && !events.offer(new ServingEvent.CallerLeft(requestId))) {
            exchanges.removeAbandoned(requestId);
            metrics.ringFull(events.name());
            EventLog.warn(
                    "caller-left-untold",
                    "request=" + requestId + " the ring of the decisions is full, so the request is not cancelled");
        }
    }

    /** Ends a request whose response others wait for while the process ends; it may have run. */
    private void giveUp(Exchange exchange) {
        handleCallerLeft(exchange.requestId());
        exchange.end(new Exchange.Outcome.Rejected(new ServingAction.Reject(
                exchange.requestId(), CoreErrorCode.OUTCOME_UNKNOWN, "the router stops before the response", 0)));
    }

    private static Exchange.Outcome rejectedAsStopping(long requestId) {
        return rejected(requestId, CoreErrorCode.STOPPING, "another router is ready");
    }

    private static Exchange.Outcome rejected(long requestId, CoreErrorCode reason, String detail) {
        return new Exchange.Outcome.Rejected(new ServingAction.Reject(requestId, reason, detail, RETRY_AFTER_MILLIS));
    }

    /** Counts the body of a ready response until its caller has read it, or has left. */
    private void hold(Context context, ResponseOrder.PendingResponse response, Exchange.Outcome outcome) {
        if (outcome instanceof Exchange.Outcome.Answered answered) {
            long bytes = answered.reply().body().length;
            ByteBudget.Reservation held = budget.reserveHeld(bytes);
            response.hold(bytes);
            context.onClose(closed -> held.close());
        }
    }

    private void respond(Context context, ResponseOrder.PendingResponse response, Exchange.Outcome outcome) {
        awaitTurn(response, outcome).then(ready -> write(context, response, ready));
    }

    private static Promise<Exchange.Outcome> awaitTurn(
            ResponseOrder.PendingResponse response, Exchange.Outcome outcome) {
        return Promise.async(downstream -> response.sendInOrder(() -> downstream.success(outcome)));
    }

    private void write(Context context, ResponseOrder.PendingResponse response, Exchange.Outcome outcome) {
        if (connections.isClosing() && response.tryClose()) {
            context.getResponse().forceCloseConnection();
        }
        if (outcome instanceof Exchange.Outcome.Answered answered) {
            ReplyWriter.writeReply(context, answered.reply());
        } else if (outcome instanceof Exchange.Outcome.Rejected rejected) {
            ReplyWriter.writeRejection(context, rejected.rejection(), dialect);
        }
    }
}
