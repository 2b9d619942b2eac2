package org.daisyscale.testkit.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** One request that waits for its answer, which any thread may give once. Immutable but for the channel. */
public final class HttpCall {
    private final Channel channel;
    private final boolean isKeptAlive;
    private final String method;
    private final String uri;
    private final Map<String, String> headers;
    private final byte[] body;

    HttpCall(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.isKeptAlive = HttpUtil.isKeepAlive(request);
        this.method = request.method().name();
        this.uri = request.uri();
        this.headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        request.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
        this.body = new byte[request.content().readableBytes()];
        request.content().getBytes(0, body);
    }

    /** The method. */
    public String method() {
        return method;
    }

    /** The path without the query, as sent. */
    public String path() {
        return new QueryStringDecoder(uri).rawPath();
    }

    /** The header {@code name}, or an empty text. */
    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    /** The body; nobody changes it. */
    public byte[] body() {
        return body;
    }

    /** Answers with {@code reply}. */
    public void answer(HttpReply reply) {
        ByteBuf content = Unpooled.wrappedBuffer(reply.body());
        var response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), content);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
        reply.headers().forEach(response.headers()::set);
        HttpUtil.setContentLength(response, reply.body().length);
        HttpUtil.setKeepAlive(response, isKeptAlive);
        var future = channel.writeAndFlush(response);
        if (!isKeptAlive) {
            future.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Answers with {@code reply} after {@code delayMillis} milliseconds. */
    public void answerAfter(HttpReply reply, long delayMillis) {
        if (delayMillis <= 0) {
            answer(reply);
            return;
        }
        var timer = channel.eventLoop().schedule(() -> answer(reply), delayMillis, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(closed -> timer.cancel(false));
    }

    /** Begins an answer of JSON lines that stays open. */
    public void beginStream() {
        var response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        HttpUtil.setTransferEncodingChunked(response, true);
        channel.writeAndFlush(response);
    }

    /** Sends one line of an answer that {@link #beginStream} began. */
    public void sendLine(Object value) {
        ByteBuf line = Unpooled.wrappedBuffer(Json.bytes(value), "\n".getBytes(StandardCharsets.UTF_8));
        channel.writeAndFlush(new DefaultHttpContent(line));
    }

    /** Closes the connection without an answer. */
    public void abort() {
        channel.close();
    }

    /** Runs {@code action} once the connection has ended. */
    public void whenGone(Runnable action) {
        channel.closeFuture().addListener(closed -> action.run());
    }
}
