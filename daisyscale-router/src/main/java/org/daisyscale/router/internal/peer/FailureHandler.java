package org.daisyscale.router.internal.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderException;
import java.time.Duration;
import org.daisyscale.codec.CodecException;
import org.daisyscale.core.error.DaisyscaleException;
import org.daisyscale.router.internal.log.LogLimiter;
import org.tinylog.Logger;

/**
 * Closes a connection on which an exception occurred and logs the error code; other connections are not affected. Not
 * thread-safe; confined to the thread of the connection's event loop.
 */
final class FailureHandler extends ChannelInboundHandlerAdapter {
    private static final LogLimiter LIMITER = new LogLimiter(Duration.ofSeconds(10));

    private final String peer;

    /** Creates a handler for the connection to {@code peer}, which is empty while the peer is unknown. */
    FailureHandler(String peer) {
        this.peer = peer;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        DaisyscaleException failure = toDaisyscaleException(cause);
        if (LIMITER.isDue(failure.errorCode().code() + peer)) {
            Logger.warn(
                    "peer-connection-failed code={} peer={} remote={}: {}",
                    failure.errorCode().code(),
                    peer,
                    context.channel().remoteAddress(),
                    failure.getMessage());
        }
        context.close();
    }

    private static DaisyscaleException toDaisyscaleException(Throwable cause) {
        Throwable root = cause instanceof DecoderException && cause.getCause() != null ? cause.getCause() : cause;
        if (root instanceof PeerException failure) {
            return failure;
        }
        if (root instanceof CodecException || root instanceof DecoderException) {
            return new PeerException(PeerErrorCode.BAD_FRAME, root.getMessage(), root);
        }
        return new PeerException(PeerErrorCode.CONNECTION_FAILED, String.valueOf(root.getMessage()), root);
    }
}
