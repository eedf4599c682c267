package org.chestnutbarrow.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * Carries the requests of one connection to the handler, one after the other. Fields are used on the event loop only.
 */
final class ServerExchange extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final Logger log = System.getLogger(ServerExchange.class.getName());

    private final HttpHandler handler;
    private final Executor executor;
    private final ServerConnections connections;
    private final ReceiveTimeout timeout;
    private boolean busy;
    private boolean closeAfterAnswer;

    ServerExchange(HttpHandler handler, Executor executor, ServerConnections connections, ReceiveTimeout timeout) {
        this.handler = handler;
        this.executor = executor;
        this.connections = connections;
        this.timeout = timeout;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
        if (busy) {
            // An answer to a pipelined request would be taken for the answer to the one that still runs.
            closeAfterAnswer = true;
            return;
        }
        if (!message.decoderResult().isSuccess() || !message.uri().startsWith("/")) {
            refuse(ctx);
            return;
        }
        busy = true;
        ctx.channel().config().setAutoRead(false);
        timeout.received();
        boolean keepAlive = HttpUtil.isKeepAlive(message);
        HttpRequest request = new HttpRequest(
                message.method().name(),
                message.uri(),
                Wire.headers(message.headers()),
                ByteBufUtil.getBytes(message.content()));
        connections.began();
        try {
            executor.execute(() -> answer(ctx, request, keepAlive));
        } catch (RejectedExecutionException e) {
            connections.ended();
            ctx.close();
        }
    }

    private void answer(ChannelHandlerContext ctx, HttpRequest request, boolean keepAlive) {
        HttpResponse response;
        try {
            response = Objects.requireNonNull(handler.handle(request), "handler returned no answer");
        } catch (TruncatedAnswerException e) {
            ctx.executor().execute(() -> writePart(ctx, e));
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            response = HttpResponse.text(500, "the server stops\n");
        } catch (Exception | Error e) {
            log.log(Level.ERROR, () -> "event=request-failed target=" + Wire.quote(request.target()), e);
            response = HttpResponse.text(500, "internal error; see the log of this process\n");
        }
        HttpResponse result = response;
        boolean head = request.method().equals("HEAD");
        try {
            ctx.executor().execute(() -> write(ctx, result, keepAlive, head));
        } catch (RejectedExecutionException e) {
            // The server was closed and its connections with it.
            connections.ended();
        }
    }

    private void write(ChannelHandlerContext ctx, HttpResponse response, boolean keepAlive, boolean head) {
        FullHttpResponse message = encode(response, head);
        boolean close = !keepAlive || closeAfterAnswer || connections.leaving();
        if (close) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        timeout.answered();
        ChannelFuture written = ctx.writeAndFlush(message);
        written.addListener(done -> finish(ctx, close));
    }

    /** Reads on only after the whole answer is written, so that draining never cuts an answer short. */
    private void finish(ChannelHandlerContext ctx, boolean close) {
        busy = false;
        connections.ended();
        if (close || closeAfterAnswer) {
            ctx.close();
        } else {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void writePart(ChannelHandlerContext ctx, TruncatedAnswerException cut) {
        connections.ended();
        if (cut.part() == TruncatedAnswerException.Part.NOTHING) {
            ctx.close();
            return;
        }
        byte[] body = cut.whole().body();
        int sent = cut.part() == TruncatedAnswerException.Part.HEADERS ? 0 : body.length / 2;
        HttpResponseStatus status = HttpResponseStatus.valueOf(cut.whole().status());
        DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        Wire.copy(cut.whole().headers(), head.headers());
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        ctx.write(head);
        ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, sent)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static FullHttpResponse encode(HttpResponse response, boolean head) {
        try {
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(head ? new byte[0] : response.body()));
            Wire.copy(response.headers(), message.headers());
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            return message;
        } catch (IllegalArgumentException e) {
            log.log(Level.ERROR, () -> "event=answer-malformed reason=" + Wire.quote(String.valueOf(e.getMessage())));
            return encode(HttpResponse.text(500, "internal error; see the log of this process\n"), head);
        }
    }

    private static void refuse(ChannelHandlerContext ctx) {
        FullHttpResponse message = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
        message.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != ServerConnections.DrainEvent.DRAIN) {
            return;
        }
        if (busy || timeout.receiving()) {
            closeAfterAnswer = true;
        } else {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.log(Level.DEBUG, () -> "event=connection-failed cause=" + Wire.quote(String.valueOf(cause.getMessage())));
        ctx.close();
    }
}
