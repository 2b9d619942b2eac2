package org.daisyscale.router.internal.serving;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import org.daisyscale.router.internal.request.ByteBudget;
import org.daisyscale.router.serving.ServingRouterSettings.Address;

/** Opens connections to one address. Not thread-safe; confined to the thread of its event loop. */
final class Connector {
    private final Bootstrap bootstrap;
    private final Address address;
    private final ByteBudget responseBytes;
    private final ExtraResponseListener extraResponses;

    Connector(Bootstrap bootstrap, Address address, ByteBudget responseBytes, ExtraResponseListener extraResponses) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.responseBytes = responseBytes;
        this.extraResponses = extraResponses;
    }

    /** Creates a connection of {@code owner} that is not open yet. */
    HttpConnection create(ConnectionOwner owner) {
        return new HttpConnection(owner, responseBytes, new ResponseHistory(address, extraResponses));
    }

    ChannelFuture open(HttpConnection connection) {
        return bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new UnexpectedBytesHandler(connection))
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection.decoder())
                                .addLast(connection);
                    }
                })
                .connect(address.host(), address.port());
    }

    /** Ends {@code call}, whose connection could not be opened. */
    static void fail(HttpCall call, Throwable cause) {
        boolean isConnectionRefused = cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).startsWith("Connection refused");
        call.end(
                isConnectionRefused ? HttpCall.Failure.CONNECTION_REFUSED : HttpCall.Failure.NOT_SENT,
                String.valueOf(cause.getMessage()));
    }
}
