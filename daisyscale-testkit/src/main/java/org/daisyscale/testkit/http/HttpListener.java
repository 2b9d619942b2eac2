package org.daisyscale.testkit.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.daisyscale.testkit.error.TestkitErrorCode;
import org.daisyscale.testkit.error.TestkitException;
import org.tinylog.Logger;

/**
 * A listener for HTTP/1.1 that hands whole requests to one consumer on the event loops given. It closes its connections
 * with itself, and leaves the event loops to their owner. Safe for use by several threads.
 */
public final class HttpListener implements AutoCloseable {
    private static final int BODY_LIMIT_BYTES = 64 * 1024 * 1024;
    private static final int BACKLOG = 1_024;

    private final Channel channel;
    private final ChannelGroup connections;

    private HttpListener(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Listens on {@code host} and {@code port}; port 0 takes a free one.
     *
     * @throws TestkitException when the address can't be listened on
     */
    public static HttpListener start(EventLoopGroup loops, String host, int port, Consumer<HttpCall> consumer) {
        ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
        var bind = new ServerBootstrap()
                .group(loops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(pipeline(connections, consumer))
                .bind(host, port)
                .awaitUninterruptibly();
        if (!bind.isSuccess()) {
            throw new TestkitException(TestkitErrorCode.LISTEN_FAILED, host + ":" + port, bind.cause());
        }
        return new HttpListener(bind.channel(), connections);
    }

    private static ChannelHandler pipeline(ChannelGroup connections, Consumer<HttpCall> consumer) {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel connection) {
                connections.add(connection);
                connection
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(BODY_LIMIT_BYTES))
                        .addLast(new CallHandler(consumer));
            }
        };
    }

    /** The port listened on. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** Turns messages of Netty into calls. */
    private static final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Consumer<HttpCall> consumer;

        CallHandler(Consumer<HttpCall> consumer) {
            this.consumer = consumer;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpCall call = new HttpCall(context.channel(), request);
            try {
                consumer.accept(call);
            } catch (TestkitException e) {
                call.answer(HttpReply.text(400, java.util.Map.of(), e.getMessage()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Logger.debug(cause, "connection-failed");
            context.close();
        }
    }
}
