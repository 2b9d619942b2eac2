package org.daisyscale.router.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderException;

/**
 * Closes a connection whose response has a malformed head, before the HTTP codec behind this handler has read the whole
 * head. For connections that carry one request at a time, which is written before its response is read. Not
 * thread-safe; confined to the thread of its event loop.
 */
final class ResponseHeadHandler extends ChannelDuplexHandler {
    private final ResponseHeadValidator validator = new ResponseHeadValidator();

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        validator.reset();
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        bytes.forEachByte(validator);
        if (validator.isMalformed()) {
            bytes.release();
            context.fireExceptionCaught(new DecoderException("response is not valid HTTP: " + validator.problem()));
            context.close();
        } else {
            context.fireChannelRead(message);
        }
    }
}
