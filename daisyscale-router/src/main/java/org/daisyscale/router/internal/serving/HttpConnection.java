package org.daisyscale.router.internal.serving;

import com.google.common.primitives.Longs;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.daisyscale.core.serving.CarriedCalls;
import org.daisyscale.router.internal.http.ResponseRules;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.WireReply;

/**
 * A persistent connection that carries one call at a time, and each request id once. Responses to other calls are
 * skipped. The connection is closed and never reused when bytes arrive while no call is in flight or behind a response,
 * when a response that names no request follows an earlier response, when a response or what is skipped before it is
 * too large, when the length of what must be skipped is unknown, when a response ends before the whole request was
 * sent, when only the end of the connection ends the response to a long request, when it has carried as many calls as
 * it can remember, and on any other failure. Not thread-safe; confined to the thread of its event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {
    /**
     * How long an idle connection is kept when the other side states no keep-alive timeout, in milliseconds: below the
     * usual timeouts of servers.
     */
    private static final long DEFAULT_KEEP_ALIVE_MILLIS = 8_000;
    /**
     * Fraction of the keep-alive timeout of the other side that is used, so that no request is sent while the other
     * side closes the connection.
     */
    private static final double KEEP_ALIVE_FRACTION = 0.7;
    /** Limit of the body of one response, in bytes. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    /** Limit of what is received before the response to a call, in bytes: a whole response to an earlier call. */
    private static final int MAX_SKIPPED_BYTES = MAX_RESPONSE_BYTES;
    /** Limit of what is received for one call, in bytes: chunk extensions and trailers are in no body. */
    private static final int MAX_RECEIVED_BYTES = 4 * MAX_RESPONSE_BYTES;
    /** Limit of the responses that are skipped before the response to a call: one to each earlier call. */
    private static final int MAX_SKIPPED_RESPONSES = CarriedCalls.MAX_CALLS;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private final ConnectionOwner owner;
    private final ByteBudget responseBytes;
    private final ResponseHistory history;
    private final ResponseDecoder decoder = new ResponseDecoder(this);
    private ChannelHandlerContext context;
    private HttpCall call;
    private HttpResponse head;
    private ByteArrayOutputStream body;
    private boolean isEndedByClose;
    private boolean isSkippingResponse;
    private long skippedBytes;
    private long receivedBytes;
    private int skippedResponses;
    private boolean hasSeenResponse;
    private boolean hasCarriedCall;
    private boolean hasCarriedHeadCall;
    private ByteBudget.Reservation reservation;
    private int requestBodyBytes;
    private boolean isRequestWritten;
    private boolean isBroken;
    private long keepAliveMillis = DEFAULT_KEEP_ALIVE_MILLIS;
    private long idleSinceNanos;

    HttpConnection(ConnectionOwner owner, ByteBudget responseBytes, ResponseHistory history) {
        this.owner = owner;
        this.responseBytes = responseBytes;
        this.history = history;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        idleSinceNanos = System.nanoTime();
    }

    /** Returns the decoder in front of this handler. */
    ResponseDecoder decoder() {
        return decoder;
    }

    boolean isUsable() {
        long idleMillis = (System.nanoTime() - idleSinceNanos) / 1_000_000L;
        return context.channel().isActive() && !isBroken && idleMillis < keepAliveMillis;
    }

    /**
     * Returns whether no response to an earlier call on this connection can be taken for that to {@code next}. If the
     * response to {@code next} bears no request id, no earlier response may have been received at all, unless the call
     * allows it.
     */
    boolean mayCarry(HttpCall next) {
        boolean isUnnamed =
                next.responseName().filter(HttpCall.NO_REQUEST_ID::equals).isPresent();
        boolean needsUnusedConnection = isUnnamed && !next.mayFollowNamedResponses();
        return history.mayCarry(next) && !(needsUnusedConnection && hasSeenResponse);
    }

    void close() {
        isBroken = true;
        context.close();
    }

    void send(HttpCall newCall) {
        call = newCall;
        head = null;
        skippedBytes = 0;
        receivedBytes = 0;
        skippedResponses = 0;
        requestBodyBytes = call.request().content().readableBytes();
        isRequestWritten = false;
        call.markWritten(context.channel(), !hasCarriedCall);
        hasCarriedCall = true;
        history.recordSent(call);
        context.writeAndFlush(newCall.request()).addListener(written -> {
            if (call == newCall) {
                isRequestWritten = written.isSuccess();
                if (!written.isSuccess()) {
                    fail(HttpCall.Failure.LOST, String.valueOf(written.cause()));
                }
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext unused, HttpObject message) {
        if (isBroken) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(
                    HttpCall.Failure.SPOILED,
                    "response is not valid HTTP: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            handleHead(response);
        }
        if (message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private void handleHead(HttpResponse response) {
        AnswerMatch match = call.match(response.headers());
        boolean isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        isSkippingResponse = isInformational || match == AnswerMatch.ANOTHER_REQUEST;
        if (match == AnswerMatch.ANOTHER_REQUEST) {
            history.reportExtra(response, id(), call);
        }
        if (isSkippingResponse) {
            skipResponse(response, isInformational);
        } else if (match == AnswerMatch.UNNAMED && hasSeenResponse) {
            history.reportExtra(response, id(), call);
            fail(HttpCall.Failure.SPOILED, "response names no request and may duplicate an earlier response");
        } else {
            head = response;
            isEndedByClose = decoder.isEndedByClose(response);
            call.recordReceived(0);
            body = new ByteArrayOutputStream();
        }
        hasSeenResponse |= !isInformational;
    }

    private void skipResponse(HttpResponse response, boolean isInformational) {
        skippedResponses++;
        if (skippedResponses > MAX_SKIPPED_RESPONSES) {
            fail(
                    HttpCall.Failure.SPOILED,
                    "more than %d other responses precede the response".formatted(MAX_SKIPPED_RESPONSES));
        } else if (hasCarriedHeadCall && !isInformational) {
            fail(HttpCall.Failure.SPOILED, "a response to an earlier call may have no body in spite of its length");
        } else if (decoder.isEndedByClose(response)) {
            fail(HttpCall.Failure.SPOILED, "a response to another call has no length, so none can follow it");
        }
    }

    /** Returns whether {@code response}, which arrives now, has no body whatever length it states. */
    boolean hasNoBody(HttpResponse response) {
        return call != null
                && (isMethod(call, HttpMethod.HEAD) || isMethod(call, HttpMethod.CONNECT))
                && call.match(response.headers()) != AnswerMatch.ANOTHER_REQUEST;
    }

    private static boolean isMethod(HttpCall call, HttpMethod method) {
        return call.request().method().equals(method);
    }

    /** Returns whether no call is in flight, so that bytes received now belong to none. */
    boolean isIdle() {
        return call == null;
    }

    private String id() {
        return context.channel().id().asShortText();
    }

    /** Closes the connection after {@code bytes} arrived while no call was in flight. */
    void closeOnUnexpectedBytes(ByteBuf bytes) {
        history.reportUnexpected(bytes, id());
        fail(HttpCall.Failure.SPOILED, "bytes received while no call is in flight");
    }

    /**
     * Counts {@code bytes} that arrive now; returns whether too many precede the response to the call in flight, or
     * belong to it.
     */
    boolean isReceivingTooMuch(int bytes) {
        receivedBytes += bytes;
        if (head == null) {
            skippedBytes += bytes;
        }
        return skippedBytes > MAX_SKIPPED_BYTES || receivedBytes > MAX_RECEIVED_BYTES;
    }

    /** Closes the connection after too many bytes arrived for the call in flight. */
    void closeOnTooManyBytes() {
        String detail = "more than %d bytes precede the response, or more than %d bytes were received with it"
                .formatted(MAX_SKIPPED_BYTES, MAX_RECEIVED_BYTES);
        fail(HttpCall.Failure.SPOILED, detail);
    }

    private void handleContent(HttpContent content) {
        if (!isSkippingResponse && !isBroken) {
            appendToBody(content);
        }
        if (content instanceof LastHttpContent && !isBroken) {
            if (isSkippingResponse) {
                isSkippingResponse = false;
            } else if (head != null && isEndedByClose && !isWholeAtClose()) {
                fail(HttpCall.Failure.SPOILED, "the end of the connection does not prove that the response is whole");
            } else if (head != null) {
                complete();
            }
        }
    }

    private boolean isWholeAtClose() {
        return isRequestWritten && ResponseRules.isWholeAtClose(requestBodyBytes);
    }

    private void appendToBody(HttpContent content) {
        int bytes = content.content().readableBytes();
        call.recordReceived(bytes);
        if (body.size() + bytes > MAX_RESPONSE_BYTES || !reserve(bytes)) {
            String detail = "response body exceeds %d bytes, or all buffered responses together exceed %d"
                    .formatted(MAX_RESPONSE_BYTES, responseBytes.limitBytes());
            fail(HttpCall.Failure.SPOILED, detail);
            return;
        }
        try {
            content.content().getBytes(content.content().readerIndex(), body, bytes);
        } catch (IOException e) {
            fail(HttpCall.Failure.SPOILED, String.valueOf(e));
        }
    }

    private boolean reserve(int bytes) {
        Optional<ByteBudget.Reservation> more = responseBytes.tryReserve(bytes);
        if (more.isPresent() && reservation == null) {
            reservation = more.get();
        } else if (more.isPresent()) {
            more.get().close();
            reservation.grow(bytes);
        }
        return more.isPresent();
    }

    private void releaseBody() {
        if (reservation != null) {
            reservation.close();
            reservation = null;
        }
        body = null;
    }

    private void complete() {
        HttpCall finished = call;
        HttpResponse answer = head;
        byte[] bytes = body.toByteArray();
        releaseBody();
        call = null;
        head = null;
        idleSinceNanos = System.nanoTime();
        hasCarriedHeadCall |= isMethod(finished, HttpMethod.HEAD);
        history.recordAnswered(finished, idleSinceNanos);
        ByteBuf bytesBehind = decoder.undecodedBytes();
        if (bytesBehind.isReadable()) {
            history.reportUnexpected(bytesBehind, id());
            close();
        } else if (HttpUtil.isKeepAlive(answer)
                && isRequestWritten
                && !isMethod(finished, HttpMethod.CONNECT)
                && finished.keepsConnection(answer.status().code())
                && !history.isFull()
                && context.channel().isActive()) {
            keepAliveMillis = keepAliveMillis(answer);
            owner.release(this);
        } else {
            close();
        }
        finished.end(new WireReply(answer.status().code(), answer.headers(), bytes));
    }

    private static long keepAliveMillis(HttpResponse answer) {
        String text = answer.headers().get(HttpHeaderNames.KEEP_ALIVE.toString(), "");
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(text);
        Long seconds = matcher.find() ? Longs.tryParse(matcher.group(1)) : null;
        return seconds == null ? DEFAULT_KEEP_ALIVE_MILLIS : (long) (seconds * 1_000 * KEEP_ALIVE_FRACTION);
    }

    private void fail(HttpCall.Failure failure, String detail) {
        HttpCall failed = call;
        call = null;
        close();
        releaseBody();
        if (failed == null) {
            owner.remove(this);
        } else {
            failed.end(failure, detail);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        fail(head == null ? HttpCall.Failure.LOST : HttpCall.Failure.SPOILED, String.valueOf(cause));
    }

    @Override
    public void channelInactive(ChannelHandlerContext unused) {
        fail(
                head == null ? HttpCall.Failure.LOST : HttpCall.Failure.SPOILED,
                "connection closed before the response was complete");
    }

    @Override
    public void channelUnregistered(ChannelHandlerContext unused) {
        if (call != null) {
            ReferenceCountUtil.safeRelease(call.request());
        }
    }
}
