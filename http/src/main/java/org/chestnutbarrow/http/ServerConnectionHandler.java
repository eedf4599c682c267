package org.chestnutbarrow.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * Passes the requests of one connection to the handler, one at a time. Fields are confined to the event loop.
 *
 * <p>Invariant: no request is handled after the last response of a drained connection was sent.
 */
final class ServerConnectionHandler extends SimpleChannelInboundHandler<Object> {
    /** Time for the client to read the last response and close an idle connection. */
    private static final Duration LAST_RESPONSE_TIMEOUT = Duration.ofSeconds(1);

    private static final Logger log = System.getLogger(ServerConnectionHandler.class.getName());

    private final HttpHandler handler;
    private final Executor executor;
    private final ServerConnections connections;
    private final ReceiveTimeout timeout;
    private final RequestBytes requestBytes;
    private boolean busy;
    private boolean closeAfterResponse;
    private boolean lastResponseSent;
    private boolean drainInFlight;

    ServerConnectionHandler(
            HttpHandler handler,
            Executor executor,
            ServerConnections connections,
            ReceiveTimeout timeout,
            RequestBytes requestBytes) {
        this.handler = handler;
        this.executor = executor;
        this.connections = connections;
        this.timeout = timeout;
        this.requestBytes = requestBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (lastResponseSent) {
            return;
        }
        switch (message) {
            case RequestAssembler.Received received -> receive(ctx, received.head(), received.body());
            case RequestAssembler.Rejected rejected -> reject(ctx, rejected.status());
            default -> ctx.close();
        }
    }

    private void receive(ChannelHandlerContext ctx, io.netty.handler.codec.http.HttpRequest message, byte[] body) {
        if (busy) {
            // The response to a pipelined request would be taken for the response to the request in progress.
            closeAfterResponse = true;
            return;
        }
        if (!message.uri().startsWith("/")) {
            reject(ctx, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        busy = true;
        requestBytes.requestReceived();
        connections.removeWithoutRequest(ctx.channel());
        ctx.channel().config().setAutoRead(false);
        timeout.requestReceived();
        boolean keepAlive = HttpUtil.isKeepAlive(message);
        HttpRequest request = new HttpRequest(
                message.method().name(), message.uri(), NettyConversions.fromNetty(message.headers()), body);
        connections.requestStarted();
        endDrain();
        try {
            executor.execute(() -> handle(ctx, request, keepAlive));
        } catch (RejectedExecutionException e) {
            connections.requestEnded();
            ctx.close();
        }
    }

    private void handle(ChannelHandlerContext ctx, HttpRequest request, boolean keepAlive) {
        HttpResponse response;
        try {
            response = Objects.requireNonNull(handler.handle(request), "handler returned null");
        } catch (TruncatedResponseException e) {
            ctx.executor().execute(() -> writeTruncated(ctx, e));
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            response = HttpResponse.text(500, "the server stops\n");
        } catch (Exception | Error e) {
            log.log(Level.ERROR, () -> "event=request-failed target=" + NettyConversions.quote(request.target()), e);
            response = HttpResponse.text(500, "internal error; see the log of this process\n");
        }
        HttpResponse result = response;
        boolean headRequest = request.method().equals("HEAD");
        try {
            ctx.executor().execute(() -> write(ctx, result, keepAlive, headRequest));
        } catch (RejectedExecutionException e) {
            // The server and its connections have been closed.
            connections.requestEnded();
        }
    }

    private void write(ChannelHandlerContext ctx, HttpResponse response, boolean keepAlive, boolean headRequest) {
        FullHttpResponse message = encode(response, headRequest);
        boolean close = !keepAlive || closeAfterResponse || connections.isKeepAliveDisabled();
        if (close) {
            message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        timeout.responseReady();
        ChannelFuture written = ctx.writeAndFlush(message);
        written.addListener(done -> finish(ctx, close));
    }

    /** Resumes reading after the complete response is written, so that draining never truncates a response. */
    private void finish(ChannelHandlerContext ctx, boolean close) {
        busy = false;
        requestBytes.requestEnded();
        connections.requestEnded();
        if (close || closeAfterResponse) {
            ctx.close();
        } else {
            ctx.channel().config().setAutoRead(true);
        }
    }

    private void writeTruncated(ChannelHandlerContext ctx, TruncatedResponseException truncated) {
        connections.requestEnded();
        requestBytes.requestEnded();
        if (truncated.part() == TruncatedResponseException.Part.NOTHING) {
            ctx.close();
            return;
        }
        byte[] body = truncated.response().body();
        int sentBytes = truncated.part() == TruncatedResponseException.Part.HEADERS ? 0 : body.length / 2;
        HttpResponseStatus status =
                HttpResponseStatus.valueOf(truncated.response().status());
        DefaultHttpResponse message = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        NettyConversions.copy(truncated.response().headers(), message.headers());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        ctx.write(message);
        ctx.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(body, 0, sentBytes)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private static FullHttpResponse encode(HttpResponse response, boolean headRequest) {
        try {
            FullHttpResponse message = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(response.status()),
                    Unpooled.wrappedBuffer(headRequest ? new byte[0] : response.body()));
            NettyConversions.copy(response.headers(), message.headers());
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            return message;
        } catch (IllegalArgumentException e) {
            log.log(
                    Level.ERROR,
                    () -> "event=answer-malformed reason=" + NettyConversions.quote(String.valueOf(e.getMessage())));
            return encode(HttpResponse.text(500, "internal error; see the log of this process\n"), headRequest);
        }
    }

    /**
     * Answers a request that is not handled, and carries no further one. A pending response to an earlier request is
     * completed first.
     */
    private void reject(ChannelHandlerContext ctx, HttpResponseStatus status) {
        requestBytes.discard();
        if (busy) {
            closeAfterResponse = true;
            return;
        }
        if (lastResponseSent) {
            return;
        }
        endDrain();
        HttpResponse response = HttpResponse.text(status.code(), "");
        sendLastResponse(
                ctx,
                status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE) ? response.with("Retry-After", "1") : response);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestBytes.RefusedEvent) {
            reject(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE);
            return;
        }
        if (!(event instanceof ServerConnections.DrainEvent drain)) {
            return;
        }
        drainInFlight = true;
        if (busy) {
            closeAfterResponse = true;
            endDrain();
        } else if (timeout.isReceiving()) {
            closeAfterResponse = true;
        } else if (drain.lastResponse().isPresent()) {
            sendLastResponse(ctx, drain.lastResponse().get());
        } else {
            endDrain();
            ctx.close();
        }
    }

    /**
     * Ends the output only, because closing a socket with unread bytes resets the connection, and the client may lose
     * the response.
     */
    private void sendLastResponse(ChannelHandlerContext ctx, HttpResponse response) {
        lastResponseSent = true;
        FullHttpResponse message = encode(response, false);
        message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        ctx.writeAndFlush(message).addListener(done -> ((SocketChannel) ctx.channel()).shutdownOutput());
        ctx.executor().schedule(() -> ctx.close(), LAST_RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void endDrain() {
        if (drainInFlight) {
            drainInFlight = false;
            connections.requestEnded();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endDrain();
        ctx.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        log.log(
                Level.DEBUG,
                () -> "event=connection-failed cause=" + NettyConversions.quote(String.valueOf(cause.getMessage())));
        ctx.close();
    }
}
