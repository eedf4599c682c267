package org.chestnutbarrow.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ProtocolException;

/** Handles the exchanges of one connection, one at a time. Fields are confined to the event loop. */
final class ClientConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final int maxBodyBytes;
    private PendingExchange pending;
    private io.netty.handler.codec.http.HttpResponse responseHead;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    ClientConnectionHandler(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Starts an exchange; callable from any thread. */
    void begin(Channel channel, PendingExchange exchange) {
        channel.eventLoop().execute(() -> write(channel, exchange));
    }

    private void write(Channel channel, PendingExchange exchange) {
        if (!channel.isActive() || pending != null) {
            exchange.result().completeExceptionally(new ConnectionClosedException());
            channel.close();
            return;
        }
        FullHttpRequest message;
        try {
            message = encode(exchange);
        } catch (IllegalArgumentException e) {
            exchange.result().completeExceptionally(e);
            channel.close();
            return;
        }
        if (!exchange.startWriting()) {
            channel.close();
            return;
        }
        pending = exchange;
        channel.writeAndFlush(message).addListener(done -> {
            if (!done.isSuccess()) {
                fail(channel, done.cause());
            }
        });
    }

    /** Converts the request for Netty, which rejects illegal characters in names or values before writing any byte. */
    private static FullHttpRequest encode(PendingExchange exchange) {
        HttpRequest request = exchange.request();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        NettyConversions.copy(request.headers(), message.headers());
        message.headers().set(HttpHeaderNames.HOST, exchange.address().toString());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return message;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (pending == null || !message.decoderResult().isSuccess()) {
            fail(ctx.channel(), new ProtocolException("unexpected or malformed bytes received"));
            return;
        }
        pending.setLastActivity(System.nanoTime());
        if (message instanceof io.netty.handler.codec.http.HttpResponse received) {
            responseHead = received;
            body = new ByteArrayOutputStream();
        }
        if (message instanceof HttpContent content) {
            append(ctx, content.content());
        }
        if (message instanceof LastHttpContent && responseHead != null) {
            complete(ctx.channel());
        }
    }

    private void append(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (body.size() + bytes.readableBytes() > maxBodyBytes) {
            fail(ctx.channel(), new ProtocolException("response body exceeds " + maxBodyBytes + " bytes"));
            return;
        }
        try {
            bytes.readBytes(body, bytes.readableBytes());
        } catch (IOException e) {
            fail(ctx.channel(), e);
        }
    }

    private void complete(Channel channel) {
        if (responseHead.status().code() < FIRST_FINAL_STATUS) {
            responseHead = null;
            return;
        }
        if (!isDelimited()) {
            fail(channel, new ProtocolException("response has neither a content length nor chunked encoding"));
            return;
        }
        PendingExchange completed = pending;
        HttpResponse response = new HttpResponse(
                responseHead.status().code(), NettyConversions.fromNetty(responseHead.headers()), body.toByteArray());
        boolean keepAlive = HttpUtil.isKeepAlive(responseHead);
        pending = null;
        responseHead = null;
        if (!keepAlive) {
            channel.close();
        }
        completed.succeed(response, keepAlive);
    }

    private boolean isDelimited() {
        int status = responseHead.status().code();
        return status == NO_CONTENT
                || status == NOT_MODIFIED
                || pending.request().method().equals("HEAD")
                || HttpUtil.isTransferEncodingChunked(responseHead)
                || HttpUtil.isContentLengthSet(responseHead);
    }

    private void fail(Channel channel, Throwable cause) {
        PendingExchange failed = pending;
        pending = null;
        responseHead = null;
        channel.close();
        if (failed != null) {
            failed.result().completeExceptionally(cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(ctx.channel(), new IOException("connection closed before the complete response was received"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(ctx.channel(), cause);
    }
}
