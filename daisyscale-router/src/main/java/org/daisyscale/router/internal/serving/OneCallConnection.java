package org.daisyscale.router.internal.serving;

import io.netty.channel.ChannelFuture;

/**
 * Carries one call and is then closed, so that no response to an earlier call can be taken for the response to this
 * one. Not thread-safe; confined to the thread of its event loop.
 */
final class OneCallConnection implements ConnectionOwner {
    private OneCallConnection() {}

    /** Sends {@code call} on a new connection of {@code connector}. */
    static void send(Connector connector, HttpCall call) {
        HttpConnection connection = connector.create(new OneCallConnection());
        ChannelFuture connected = connector.open(connection);
        connected.addListener(done -> {
            if (!connected.isSuccess()) {
                Connector.fail(call, connected.cause());
            } else if (call.maySend()) {
                connection.send(call);
            } else {
                connection.close();
            }
        });
    }

    @Override
    public void release(HttpConnection connection) {
        connection.close();
    }

    @Override
    public void remove(HttpConnection connection) {
        // Nothing refers to the connection any more.
    }
}
