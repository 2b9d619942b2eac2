package org.daisyscale.router.internal.backend;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.daisyscale.core.Action;
import org.daisyscale.core.request.BackendOutcome;
import org.daisyscale.core.request.Permit;
import org.daisyscale.core.request.RequestMeta;
import org.daisyscale.router.internal.http.ResponseRules;
import org.daisyscale.router.internal.request.BackendAnswer;
import org.daisyscale.router.internal.request.CallerRequest;
import org.daisyscale.router.internal.request.EndToEndHeaders;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Execution;
import ratpack.http.MutableHeaders;
import ratpack.http.client.RequestSpec;
import ratpack.http.client.StreamedResponse;

/**
 * The HTTP call of one order. The order is sent at most once and the call ends exactly once. A call that ends without a
 * complete answer to its own order closes its connection. Not thread-safe; confined to one event loop, except
 * {@link #cancel}.
 */
final class OrderCall implements Subscriber<ByteBuf> {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long CANCEL_GRACE_MILLIS = 100;
    private static final long MAX_INITIAL_BUFFER_BYTES = 1 << 20;

    private final OrderClients clients;
    private final CallerRequest request;
    private final Action.SendOrder order;
    private final BackendSettings settings;
    private final Consumer<OrderResult> onEnd;
    private volatile EventLoop eventLoop;
    private volatile boolean isCancelled;
    private ByteArrayOutputStream body;
    private StreamedResponse response;
    private BackendOutcome outcomeFromHeaders;
    private Subscription subscription;
    private ScheduledFuture<?> timer;
    private long sentNanos;
    private boolean isEnded;

    OrderCall(
            OrderClients clients,
            CallerRequest request,
            Action.SendOrder order,
            BackendSettings settings,
            Consumer<OrderResult> onEnd) {
        this.clients = clients;
        this.request = request;
        this.order = order;
        this.settings = settings;
        this.onEnd = onEnd;
    }

    /** Sends the order on the event loop of {@code execution}. */
    void start(Execution execution) {
        eventLoop = execution.getEventLoop();
        timer = eventLoop.schedule(this::timeOut, order.timeoutMillis(), TimeUnit.MILLISECONDS);
        if (isCancelled) {
            end(BackendOutcome.NOT_SENT);
            return;
        }
        Permit permit = order.permit();
        clients.client(permit.host(), permit.port())
                .requestStream(target(), this::prepare)
                .onError(failure -> end(OutcomeClassifier.ofFailure(failure)))
                .then(this::receive);
    }

    /** Ends the call after a short grace period, whether or not the server has answered. Callable from any thread. */
    void cancel() {
        isCancelled = true;
        EventLoop current = eventLoop;
        if (current != null) {
            current.schedule(this::timeOut, CANCEL_GRACE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private URI target() {
        RequestMeta meta = request.meta();
        String query = meta.rawQuery().isEmpty() ? "" : "?" + meta.rawQuery();
        return URI.create(
                "http://" + order.permit().host() + ":" + order.permit().port() + meta.path() + query);
    }

    private void prepare(RequestSpec spec) {
        spec.method(request.meta().method())
                .redirects(0)
                .decompressResponse(false)
                .readTimeout(Duration.ofMillis(order.timeoutMillis()));
        request.headers().forEach(header -> spec.getHeaders().add(header.name(), header.value()));
        addOrderHeaders(spec.getHeaders());
        if (request.body().length > 0) {
            spec.getBody().bytes(request.body());
        }
        checkPermit();
        sentNanos = System.nanoTime();
    }

    private void addOrderHeaders(MutableHeaders headers) {
        Permit permit = order.permit();
        headers.set("Daisyscale-Order-Id", permit.orderId());
        headers.set("Daisyscale-Deadline", Long.toString(permit.deadlineServerMillis()));
        if (permit.epoch() > 0) {
            headers.set("Daisyscale-Epoch", Long.toString(permit.epoch()));
            headers.set("Daisyscale-Key-Hash", Long.toString(permit.keyHash()));
        }
    }

    /** Throws if the permit could expire before sending: a new connection may take the full connect timeout. */
    private void checkPermit() {
        long latestSendNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.connectTimeoutMillis());
        if (latestSendNanos - order.sendBeforeNanos() > 0) {
            throw new PermitExpiredException(order.permit().orderId());
        }
    }

    private void receive(StreamedResponse received) {
        response = received;
        outcomeFromHeaders = outcomeFromHeaders(received);
        body = new ByteArrayOutputStream(initialBufferBytes(received));
        received.getBody().subscribe(this);
    }

    private BackendOutcome outcomeFromHeaders(StreamedResponse received) {
        HttpHeaders headers = received.getHeaders().getNettyHeaders();
        boolean mayBePart = ResponseRules.isEndedByClose(headers)
                && !hasNoBody(received.getStatusCode())
                && !ResponseRules.isWholeAtClose(request.body().length);
        return mayBePart || !ResponseRules.isStatus(received.getStatusCode())
                ? BackendOutcome.WRONG_ANSWER
                : OutcomeClassifier.ofHeaders(
                        received.getHeaders(), order.permit().orderId());
    }

    private boolean hasNoBody(int status) {
        return status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code()
                || request.meta().method().equals(HttpMethod.HEAD.name());
    }

    private int initialBufferBytes(StreamedResponse received) {
        String contentLength =
                Optional.ofNullable(received.getHeaders().get("Content-Length")).orElse("");
        long contentLengthBytes =
                Optional.ofNullable(Longs.tryParse(contentLength)).orElse(0L);
        return (int) Math.max(0, Math.min(contentLengthBytes, MAX_INITIAL_BUFFER_BYTES));
    }

    @Override
    public void onSubscribe(Subscription newSubscription) {
        subscription = newSubscription;
        if (isEnded || outcomeFromHeaders == BackendOutcome.WRONG_ANSWER) {
            endAndClose(BackendOutcome.WRONG_ANSWER);
            clients.discard(order.permit().host(), order.permit().port());
        } else {
            subscription.request(Long.MAX_VALUE);
        }
    }

    @Override
    public void onNext(ByteBuf chunk) {
        try {
            append(chunk);
        } finally {
            chunk.release();
        }
    }

    private void append(ByteBuf chunk) {
        if (isEnded) {
            return;
        }
        if (body.size() + chunk.readableBytes() > settings.maxAnswerBytes()) {
            endAndClose(BackendOutcome.WRONG_ANSWER);
            return;
        }
        try {
            chunk.readBytes(body, chunk.readableBytes());
        } catch (IOException e) {
            endAndClose(BackendOutcome.WRONG_ANSWER);
        }
    }

    @Override
    public void onError(Throwable failure) {
        end(BackendOutcome.WRONG_ANSWER);
    }

    @Override
    public void onComplete() {
        end(outcomeFromHeaders);
    }

    private void timeOut() {
        endAndClose(BackendOutcome.TIMED_OUT);
    }

    private void endAndClose(BackendOutcome outcome) {
        end(outcome);
        if (subscription != null) {
            subscription.cancel();
        }
    }

    private void end(BackendOutcome outcome) {
        if (isEnded) {
            return;
        }
        isEnded = true;
        timer.cancel(false);
        long serviceMicros = sentNanos == 0 ? 0 : (System.nanoTime() - sentNanos) / NANOS_PER_MICRO;
        BackendAnswer answer = outcome == BackendOutcome.ANSWERED ? completeAnswer() : null;
        onEnd.accept(new OrderResult(order, outcome, serviceMicros, answer));
    }

    private BackendAnswer completeAnswer() {
        return new BackendAnswer(
                response.getStatusCode(),
                EndToEndHeaders.pick(response.getHeaders().getNettyHeaders()),
                body.toByteArray());
    }
}
