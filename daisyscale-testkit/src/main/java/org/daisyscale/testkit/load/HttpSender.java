package org.daisyscale.testkit.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.AbstractChannelPoolMap;
import io.netty.channel.pool.SimpleChannelPool;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Sends whole HTTP/1.1 requests over pooled connections and hands back whole answers. A connection carries one request
 * at a time; one that failed or was late is closed. Safe for use by several threads.
 */
final class HttpSender implements AutoCloseable {
    private static final AttributeKey<CompletableFuture<Answer>> WAITING = AttributeKey.valueOf("waiting");
    private static final int ANSWER_LIMIT_BYTES = 64 * 1024 * 1024;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final NioEventLoopGroup loops;
    private final long timeoutMillis;
    private final AbstractChannelPoolMap<InetSocketAddress, SimpleChannelPool> pools;

    HttpSender(int threadCount, long timeoutMillis) {
        this.loops = new NioEventLoopGroup(threadCount);
        this.timeoutMillis = timeoutMillis;
        this.pools = new AbstractChannelPoolMap<>() {
            @Override
            protected SimpleChannelPool newPool(InetSocketAddress address) {
                return new SimpleChannelPool(bootstrap(address), new Opening());
            }
        };
    }

    private Bootstrap bootstrap(InetSocketAddress address) {
        return new Bootstrap()
                .group(loops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .remoteAddress(address);
    }

    /**
     * Sends {@code request}. The answer fails with {@link java.net.ConnectException} when no connection could be
     * opened, with {@link TimeoutException} when it is late, and with {@link IOException} when the connection ended.
     */
    CompletableFuture<Answer> send(InetSocketAddress address, FullHttpRequest request) {
        CompletableFuture<Answer> answer = new CompletableFuture<>();
        SimpleChannelPool pool = pools.get(address);
        pool.acquire().addListener((Future<Channel> acquired) -> {
            if (acquired.isSuccess()) {
                exchange(pool, acquired.getNow(), request, answer);
            } else {
                request.release();
                answer.completeExceptionally(acquired.cause());
            }
        });
        return answer;
    }

    private void exchange(
            SimpleChannelPool pool, Channel channel, FullHttpRequest request, CompletableFuture<Answer> answer) {
        channel.attr(WAITING).set(answer);
        var timer = channel.eventLoop()
                .schedule(
                        () -> answer.completeExceptionally(new TimeoutException()),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        answer.whenComplete((whole, failure) -> {
            timer.cancel(false);
            channel.attr(WAITING).set(null);
            if (failure != null || !whole.isKeptAlive()) {
                channel.close();
            }
            pool.release(channel);
        });
        channel.writeAndFlush(request).addListener(written -> {
            if (!written.isSuccess()) {
                answer.completeExceptionally(new IOException(written.cause()));
            }
        });
    }

    @Override
    public void close() {
        pools.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * A whole answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body
     * @param isKeptAlive whether the connection can be used again
     */
    record Answer(int status, HttpHeaders headers, byte[] body, boolean isKeptAlive) {}

    private static final class Opening extends AbstractChannelPoolHandler {
        @Override
        public void channelCreated(Channel channel) {
            channel.pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(ANSWER_LIMIT_BYTES))
                    .addLast(new Receiving());
        }
    }

    private static final class Receiving extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            CompletableFuture<Answer> waiting = context.channel().attr(WAITING).get();
            if (waiting == null) {
                context.close();
                return;
            }
            byte[] body = ByteBufUtil.getBytes(response.content());
            waiting.complete(
                    new Answer(response.status().code(), response.headers(), body, HttpUtil.isKeepAlive(response)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(context, new IOException("The connection ended before a whole answer."));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(context, new IOException(cause));
            context.close();
        }

        private static void fail(ChannelHandlerContext context, IOException cause) {
            CompletableFuture<Answer> waiting = context.channel().attr(WAITING).get();
            if (waiting != null) {
                waiting.completeExceptionally(cause);
            }
        }
    }
}
