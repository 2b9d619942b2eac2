package org.daisyscale.router.internal.request;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import ratpack.handling.Context;
import ratpack.http.Response;

/** Writes the body of a complete reply, or only its length if the request's method is HEAD. Stateless. */
public final class ReplyBody {

    private ReplyBody() {}

    /** Sends the reply of {@code context}, whose status and headers are set, with {@code body}. */
    public static void send(Context context, byte[] body) {
        if (context.getRequest().getMethod().isHead()) {
            sendWithoutBody(context.getResponse(), String.valueOf(body.length));
        } else {
            context.getResponse().send(Unpooled.wrappedBuffer(body));
        }
    }

    /** Sends {@code response} to a request with the method HEAD, whose body would have {@code contentLength} bytes. */
    public static void sendWithoutBody(Response response, String contentLength) {
        response.beforeSend(sent -> sent.getHeaders().set(HttpHeaderNames.CONTENT_LENGTH.toString(), contentLength));
        response.send();
    }
}
