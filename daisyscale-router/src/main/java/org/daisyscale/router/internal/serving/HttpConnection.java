package org.daisyscale.router.internal.serving;

import com.google.common.primitives.Longs;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
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
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.serving.AnswerMatch;
import org.daisyscale.router.serving.WireReply;

/**
 * One kept connection with one call at a time. An answer to another call is passed over. A connection is closed and
 * never used again when bytes come while no call waits, when an unnamed answer comes after an earlier one,
 * when an answer is too large, when the request hasn't left whole as its answer comes, and when anything else went
 * wrong. Used by the thread of its event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** How long a connection is kept when the other side says nothing, in milliseconds: below the usual limits. */
    private static final long DEFAULT_KEEP_MILLIS = 8_000;
    /** The part of the other side's time that is used, so that a request doesn't cross its close. */
    private static final double KEEP_PART = 0.7;
    /** The largest answer that is held, in bytes. */
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private final ConnectionKeeper keeper;
    private final ByteBudget answerBytes;
    private ChannelHandlerContext context;
    private HttpCall call;
    private HttpResponse head;
    private ByteArrayOutputStream body;
    private boolean isPassingOver;
    private boolean hadAnswer;
    private ByteBudget.Reservation reservation;
    private boolean isRequestWritten;
    private boolean isBroken;
    private long keepMillis = DEFAULT_KEEP_MILLIS;
    private long idleSinceNanos;

    HttpConnection(ConnectionKeeper keeper, ByteBudget answerBytes) {
        this.keeper = keeper;
        this.answerBytes = answerBytes;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        idleSinceNanos = System.nanoTime();
    }

    boolean isUsable() {
        long idleMillis = (System.nanoTime() - idleSinceNanos) / 1_000_000L;
        return context.channel().isActive() && !isBroken && idleMillis < keepMillis;
    }

    void close() {
        isBroken = true;
        context.close();
    }

    void send(HttpCall newCall) {
        call = newCall;
        head = null;
        isRequestWritten = false;
        call.writingTo(context.channel());
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
        if (message.decoderResult().isFailure()) {
            fail(
                    HttpCall.Failure.SPOILED,
                    "not HTTP: " + message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            begin(response);
        }
        if (message instanceof HttpContent content) {
            take(content);
        }
    }

    private void begin(HttpResponse response) {
        if (call == null) {
            fail(HttpCall.Failure.SPOILED, "an answer without a call");
            return;
        }
        AnswerMatch match = call.match(response.headers());
        isPassingOver =
                response.status().codeClass() == HttpStatusClass.INFORMATIONAL || match == AnswerMatch.ANOTHER_REQUEST;
        if (!isPassingOver && match == AnswerMatch.UNNAMED && hadAnswer) {
            fail(HttpCall.Failure.SPOILED, "an answer that names no request may be an earlier one again");
        } else if (!isPassingOver) {
            head = response;
            call.received(0);
            body = new ByteArrayOutputStream();
        }
        hadAnswer = true;
    }

    /** Whether bytes that come now belong to no call. */
    boolean isIdle() {
        return call == null;
    }

    /** Bytes came while no call waits. */
    void closeUnasked() {
        fail(HttpCall.Failure.SPOILED, "bytes without a call");
    }

    private void take(HttpContent content) {
        if (isBroken || call == null) {
            return;
        }
        if (!isPassingOver) {
            keep(content);
        }
        if (content instanceof LastHttpContent && !isBroken) {
            if (isPassingOver) {
                isPassingOver = false;
            } else if (head != null) {
                finish();
            }
        }
    }

    private void keep(HttpContent content) {
        int bytes = content.content().readableBytes();
        call.received(bytes);
        if (body.size() + bytes > MAX_ANSWER_BYTES || !reserve(bytes)) {
            String detail = "the answer has over %d bytes, or all answers together over %d"
                    .formatted(MAX_ANSWER_BYTES, answerBytes.limitBytes());
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
        Optional<ByteBudget.Reservation> more = answerBytes.tryReserve(bytes);
        if (more.isPresent() && reservation == null) {
            reservation = more.get();
        } else if (more.isPresent()) {
            more.get().close();
            reservation.grow(bytes);
        }
        return more.isPresent();
    }

    private void giveBytesBack() {
        if (reservation != null) {
            reservation.close();
            reservation = null;
        }
        body = null;
    }

    private void finish() {
        HttpCall finished = call;
        HttpResponse answer = head;
        byte[] bytes = body.toByteArray();
        giveBytesBack();
        call = null;
        head = null;
        idleSinceNanos = System.nanoTime();
        if (HttpUtil.isKeepAlive(answer)
                && isRequestWritten
                && context.channel().isActive()) {
            keepMillis = keepMillis(answer);
            keeper.release(this);
        } else {
            close();
        }
        finished.end(new WireReply(answer.status().code(), answer.headers(), bytes));
    }

    private static long keepMillis(HttpResponse answer) {
        String text = answer.headers().get(HttpHeaderNames.KEEP_ALIVE.toString(), "");
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(text);
        Long seconds = matcher.find() ? Longs.tryParse(matcher.group(1)) : null;
        return seconds == null ? DEFAULT_KEEP_MILLIS : (long) (seconds * 1_000 * KEEP_PART);
    }

    private void fail(HttpCall.Failure failure, String detail) {
        HttpCall failed = call;
        call = null;
        close();
        giveBytesBack();
        if (failed == null) {
            keeper.forget(this);
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
        fail(head == null ? HttpCall.Failure.LOST : HttpCall.Failure.SPOILED, "the connection ended");
    }

    @Override
    public void channelUnregistered(ChannelHandlerContext unused) {
        if (call != null) {
            ReferenceCountUtil.safeRelease(call.request());
        }
    }
}
