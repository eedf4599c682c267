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

/** Carries the exchanges of one connection, one after the other. Fields are used on the event loop only. */
final class ClientExchange extends SimpleChannelInboundHandler<HttpObject> {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final int maxBodyBytes;
    private PendingExchange pending;
    private io.netty.handler.codec.http.HttpResponse head;
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    ClientExchange(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Starts an exchange; callable from any thread. */
    void begin(Channel channel, PendingExchange exchange) {
        channel.eventLoop().execute(() -> write(channel, exchange));
    }

    private void write(Channel channel, PendingExchange exchange) {
        if (!channel.isActive() || pending != null) {
            exchange.result().completeExceptionally(new ClosedEarlyException());
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

    /** The request as Netty writes it; names or values with illegal characters are refused before any byte is written. */
    private static FullHttpRequest encode(PendingExchange exchange) {
        HttpRequest request = exchange.request();
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.method()),
                request.target(),
                Unpooled.wrappedBuffer(request.body()));
        Wire.copy(request.headers(), message.headers());
        message.headers().set(HttpHeaderNames.HOST, exchange.to().toString());
        message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        return message;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (pending == null || !message.decoderResult().isSuccess()) {
            fail(ctx.channel(), new ProtocolException("unexpected or malformed bytes from the other side"));
            return;
        }
        pending.received(System.nanoTime());
        if (message instanceof io.netty.handler.codec.http.HttpResponse start) {
            head = start;
            body = new ByteArrayOutputStream();
        }
        if (message instanceof HttpContent content) {
            append(ctx, content.content());
        }
        if (message instanceof LastHttpContent && head != null) {
            complete(ctx.channel());
        }
    }

    private void append(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (body.size() + bytes.readableBytes() > maxBodyBytes) {
            fail(ctx.channel(), new ProtocolException("answer is longer than " + maxBodyBytes + " bytes"));
            return;
        }
        try {
            bytes.readBytes(body, bytes.readableBytes());
        } catch (IOException e) {
            fail(ctx.channel(), e);
        }
    }

    private void complete(Channel channel) {
        if (head.status().code() < FIRST_FINAL_STATUS) {
            head = null;
            return;
        }
        if (!framed()) {
            fail(channel, new ProtocolException("answer has neither a length nor chunks, so its end is not certain"));
            return;
        }
        PendingExchange done = pending;
        HttpResponse response =
                new HttpResponse(head.status().code(), Wire.headers(head.headers()), body.toByteArray());
        boolean keepOpen = HttpUtil.isKeepAlive(head);
        pending = null;
        head = null;
        if (!keepOpen) {
            channel.close();
        }
        done.succeed(response, keepOpen);
    }

    private boolean framed() {
        int status = head.status().code();
        return status == NO_CONTENT
                || status == NOT_MODIFIED
                || pending.request().method().equals("HEAD")
                || HttpUtil.isTransferEncodingChunked(head)
                || HttpUtil.isContentLengthSet(head);
    }

    private void fail(Channel channel, Throwable cause) {
        PendingExchange failed = pending;
        pending = null;
        head = null;
        channel.close();
        if (failed != null) {
            failed.result().completeExceptionally(cause);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail(ctx.channel(), new IOException("connection ended before the whole answer"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        fail(ctx.channel(), cause);
    }
}
