package org.chestnutbarrow.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Arrays;

/**
 * Assembles the parts of a request. Fields are confined to the event loop.
 *
 * <p>Invariants: the body is kept in one array, so that small pieces and chunks take no more memory than a body sent at
 * once; a body over the limit is rejected as soon as its size is known, and nothing is passed on after a rejection.
 */
final class RequestAssembler extends SimpleChannelInboundHandler<HttpObject> {
    private static final int INITIAL_BODY_BYTES = 4096;

    /** A complete request. */
    record Received(HttpRequest head, byte[] body) {}

    /** A request that is not handled; the connection carries no further one. */
    record Rejected(HttpResponseStatus status) {}

    private final int maxBodyBytes;
    private HttpRequest head;
    private byte[] body = {};
    private int size;
    private boolean rejected;

    RequestAssembler(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (rejected) {
            return;
        }
        if (!part.decoderResult().isSuccess()) {
            reject(ctx, HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(ctx, request);
        }
        if (!rejected && part instanceof HttpContent content) {
            append(ctx, content);
        }
        if (!rejected && part instanceof LastHttpContent) {
            Received received = new Received(head, Arrays.copyOf(body, size));
            clear();
            ctx.fireChannelRead(received);
        }
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest request) {
        head = request;
        long length = HttpUtil.getContentLength(request, 0L);
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        if (length > maxBodyBytes) {
            reject(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (HttpUtil.is100ContinueExpected(request)) {
            ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        } else if (expectation != null) {
            reject(ctx, HttpResponseStatus.EXPECTATION_FAILED);
        }
    }

    private void append(ChannelHandlerContext ctx, HttpContent content) {
        int added = content.content().readableBytes();
        if (added > maxBodyBytes - size) {
            reject(ctx, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        int needed = size + added;
        if (needed > body.length) {
            int doubled = Math.max(INITIAL_BODY_BYTES, 2 * body.length);
            body = Arrays.copyOf(body, Math.max(needed, Math.min(maxBodyBytes, doubled)));
        }
        content.content().readBytes(body, size, added);
        size = needed;
    }

    private void reject(ChannelHandlerContext ctx, HttpResponseStatus status) {
        rejected = true;
        clear();
        ctx.fireChannelRead(new Rejected(status));
    }

    private void clear() {
        head = null;
        body = new byte[0];
        size = 0;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestBytes.RefusedEvent) {
            rejected = true;
            clear();
        }
        ctx.fireUserEventTriggered(event);
    }
}
