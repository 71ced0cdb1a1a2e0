package io.radishspindle.ingress;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Reports the decoded requests and the responses of a connection. Follows the HTTP codec in the pipeline. Confined to
 * the event loop of the channel.
 */
final class MessageObserver extends ChannelDuplexHandler {
    private final GuardedConnection connection;
    private final Runnable onResponse;

    /** @param onResponse called after each response */
    MessageObserver(GuardedConnection connection, Runnable onResponse) {
        this.connection = connection;
        this.onResponse = onResponse;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            connection.onRequest(contentLength(request));
        }
        if (message instanceof HttpContent content) {
            connection.onBody(content.content().readableBytes());
        }
        boolean last = message instanceof LastHttpContent;
        context.fireChannelRead(message);
        if (last) {
            connection.onRequestEnd();
        }
    }

    /** The server rejects a request whose length is not a number. */
    private static long contentLength(HttpRequest request) {
        return request.decoderResult().isFailure() ? 0 : HttpUtil.getContentLength(request, 0L);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean last = message instanceof LastHttpContent && !isInterim(message);
        context.write(message, promise);
        if (last) {
            connection.onResponse();
            onResponse.run();
        }
    }

    private static boolean isInterim(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
}
