package org.daisyscale.router.internal.front;

import com.google.common.hash.Hashing;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.daisyscale.core.Event;
import org.daisyscale.core.error.CoreErrorCode;
import org.daisyscale.core.request.KeyHeaders;
import org.daisyscale.core.request.RequestMeta;
import org.daisyscale.router.internal.error.ShellErrorCode;
import org.daisyscale.router.internal.metrics.RouterMetrics;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.internal.request.CallerReply;
import org.daisyscale.router.internal.request.CallerRequest;
import org.daisyscale.router.internal.request.EndToEndHeaders;
import org.daisyscale.router.internal.request.PendingRequest;
import org.daisyscale.router.internal.request.PendingRequests;
import org.daisyscale.router.internal.ring.Ring;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Request;

/**
 * Buffers a caller's request, passes it to the core and sends the reply. Rejects a request as not run if the ring or
 * the byte budget is full. Thread-safe.
 */
final class CallerHandler implements Handler {
    private static final int BAD_REQUEST = 400;
    private static final String CALLER_HEADER = "Daisyscale-Caller";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    private final String routerId;
    private final long maxBodyBytes;
    private final long bodyTimeLimitMillis;
    private final Ring<Event> events;
    private final PendingRequests pending;
    private final ByteBudget budget;
    private final RouterMetrics metrics;
    private final OpenExchanges exchanges;
    private final AtomicLong requestCount = new AtomicLong();

    CallerHandler(
            String routerId,
            CallerFrontSettings settings,
            Ring<Event> events,
            PendingRequests pending,
            ByteBudget budget,
            RouterMetrics metrics,
            OpenExchanges exchanges) {
        this.routerId = routerId;
        this.maxBodyBytes = settings.maxBodyBytes();
        this.bodyTimeLimitMillis = settings.bodyTimeLimitMillis();
        this.events = events;
        this.pending = pending;
        this.budget = budget;
        this.metrics = metrics;
        this.exchanges = exchanges;
    }

    @Override
    public void handle(Context context) {
        long arrivedNanos = System.nanoTime();
        exchanges.opened();
        context.onClose(outcome -> exchanges.closed());
        Request request = context.getRequest();
        Optional<CallerTarget> target = CallerTarget.parse(request.getRawUri());
        if (target.isEmpty()) {
            reject(context, arrivedNanos, Rejections.notRun(BAD_REQUEST, ShellErrorCode.MALFORMED_REQUEST, ""));
            return;
        }
        if (request.getContentLength() > maxBodyBytes) {
            reject(context, arrivedNanos, tooLarge());
            return;
        }
        Optional<ByteBudget.Reservation> reservation = budget.tryReserve(bytesToReserve(request));
        if (reservation.isEmpty()) {
            reject(context, arrivedNanos, Rejections.reply(CoreErrorCode.OVERLOADED, "the request buffers are full"));
            return;
        }
        context.getExecution().onComplete(reservation.get());
        readBody(context, target.get(), reservation.get(), arrivedNanos);
    }

    private long bytesToReserve(Request request) {
        if (request.getContentLength() >= 0) {
            return request.getContentLength();
        }
        return request.isChunkedTransfer() ? maxBodyBytes : 0;
    }

    private void readBody(Context context, CallerTarget target, ByteBudget.Reservation reservation, long arrivedNanos) {
        Future<?> timeLimit = scheduleClose(context.getDirectChannelAccess().getChannel());
        context.getRequest()
                .getBody(maxBodyBytes, () -> reject(context, arrivedNanos, tooLarge()))
                .map(body -> body.getBytes())
                .flatMap(body -> {
                    timeLimit.cancel(false);
                    reservation.shrinkTo(body.length);
                    CallerRequest completeRequest = callerRequest(context.getRequest(), target, body, arrivedNanos);
                    return submitToCore(context, completeRequest, reservation);
                })
                .then(reply -> send(context, arrivedNanos, reply));
    }

    /** Closes the channel after the body time limit, so that a slow upload can't hold its reservation indefinitely. */
    private Future<?> scheduleClose(Channel channel) {
        return channel.eventLoop().schedule(() -> channel.close(), bodyTimeLimitMillis, TimeUnit.MILLISECONDS);
    }

    private CallerRequest callerRequest(Request request, CallerTarget target, byte[] body, long arrivedNanos) {
        Iterable<Map.Entry<String, String>> headers = request.getHeaders().getNettyHeaders();
        RequestMeta meta = new RequestMeta(
                target.jobName(),
                request.getMethod().getName().toUpperCase(Locale.ROOT),
                target.path(),
                target.rawQuery(),
                keyHeaders(request),
                callerId(request),
                Optional.ofNullable(request.getHeaders().get(IDEMPOTENCY_KEY_HEADER))
                        .orElse(""),
                body.length,
                Hashing.murmur3_128().hashBytes(body).toString());
        String requestId = routerId + "-" + requestCount.incrementAndGet();
        return new CallerRequest(requestId, meta, EndToEndHeaders.pick(headers), body, arrivedNanos);
    }

    private static KeyHeaders keyHeaders(Request request) {
        return new KeyHeaders(request.getHeaders().getNettyHeaders().entries().stream()
                .collect(Collectors.toMap(
                        header -> header.getKey().toLowerCase(Locale.ROOT),
                        Map.Entry::getValue,
                        (first, second) -> first)));
    }

    private static String callerId(Request request) {
        String named = request.getHeaders().get(CALLER_HEADER);
        return named == null ? request.getRemoteAddress().getHost() : named;
    }

    private Promise<CallerReply> submitToCore(
            Context context, CallerRequest request, ByteBudget.Reservation reservation) {
        Channel channel = context.getDirectChannelAccess().getChannel();
        ChannelFutureListener onDisconnect = closed -> callerDisconnected(request.requestId());
        return Promise.<CallerReply>async(downstream -> {
                    pending.add(new PendingRequest(request, reservation, downstream::success));
                    channel.closeFuture().addListener(onDisconnect);
                    if (!events.offer(new Event.RequestArrived(request.requestId(), request.meta()))) {
                        metrics.recordRingFull(events.name());
                        pending.reply(
                                request.requestId(),
                                Rejections.reply(CoreErrorCode.OVERLOADED, "the router's event queue is full"));
                    }
                })
                .wiretap(result -> channel.closeFuture().removeListener(onDisconnect));
    }

    private void callerDisconnected(String requestId) throws InterruptedException {
        CallerReply undeliverable = Rejections.reply(CoreErrorCode.OUTCOME_UNKNOWN, "the caller disconnected");
        if (pending.reply(requestId, undeliverable)) {
            events.put(new Event.CallerGone(requestId));
        }
    }

    private CallerReply tooLarge() {
        return Rejections.reply(
                CoreErrorCode.BODY_TOO_LARGE, "this router accepts bodies of at most " + maxBodyBytes + " bytes");
    }

    private void reject(Context context, long arrivedNanos, CallerReply reply) {
        context.getResponse().forceCloseConnection();
        send(context, arrivedNanos, reply);
    }

    private void send(Context context, long arrivedNanos, CallerReply reply) {
        metrics.recordReply(reply, System.nanoTime() - arrivedNanos);
        ReplyWriter.write(context, reply);
    }
}
