package org.daisyscale.router.internal.serving;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/**
 * The kept connections to one address. The one used last is used first, so that spare ones grow old and are closed
 * here before the other side closes them. Used by the thread of its event loop.
 */
final class ConnectionPool {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final Bootstrap bootstrap;
    private final Address address;
    private final ByteBudget answerBytes;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private int openCount;

    ConnectionPool(Bootstrap bootstrap, Address address, ByteBudget answerBytes) {
        this.bootstrap = bootstrap.clone();
        this.address = address;
        this.answerBytes = answerBytes;
    }

    void send(HttpCall call) {
        if (call.isNewConnectionNeeded()) {
            connect(call);
            return;
        }
        HttpConnection connection = idle.pollFirst();
        while (connection != null && !connection.isUsable()) {
            connection.close();
            connection = idle.pollFirst();
        }
        if (connection == null) {
            connect(call);
        } else {
            connection.send(call);
        }
    }

    private void connect(HttpCall call) {
        openCount++;
        HttpConnection connection = new HttpConnection(this, answerBytes);
        ChannelFuture connected = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new UnaskedBytesHandler(connection))
                                .addLast(new HttpClientCodec(
                                        MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false, false))
                                .addLast(connection);
                    }
                })
                .connect(address.host(), address.port());
        connected.channel().closeFuture().addListener(closed -> openCount--);
        connected.addListener(done -> connected(connection, call, connected));
    }

    private void connected(HttpConnection connection, HttpCall call, ChannelFuture connected) {
        if (!connected.isSuccess()) {
            call.end(
                    connected.cause() instanceof ConnectException && isRefusal(connected.cause())
                            ? HttpCall.Failure.CONNECTION_REFUSED
                            : HttpCall.Failure.NOT_SENT,
                    String.valueOf(connected.cause().getMessage()));
        } else if (call.isOver()) {
            idle.addFirst(connection);
        } else {
            connection.send(call);
        }
    }

    private static boolean isRefusal(Throwable cause) {
        return String.valueOf(cause.getMessage()).startsWith("Connection refused");
    }

    /** The connection has no call any more. */
    void release(HttpConnection connection) {
        idle.addFirst(connection);
    }

    /** The connection ended while it had no call. */
    void forget(HttpConnection connection) {
        idle.remove(connection);
    }

    void closeStale() {
        while (!idle.isEmpty() && !idle.peekLast().isUsable()) {
            idle.pollLast().close();
        }
    }

    boolean isUnused() {
        return openCount == 0;
    }
}
