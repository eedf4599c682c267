package org.chestnutbarrow.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes of all connections of a client next to the socket. Safe for use by several threads. */
@Sharable
final class Traffic extends ChannelDuplexHandler {
    private final LongAdder in = new LongAdder();
    private final LongAdder out = new LongAdder();

    long in() {
        return in.sum();
    }

    long out() {
        return out.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            in.add(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof ByteBuf bytes) {
            out.add(bytes.readableBytes());
        }
        super.write(ctx, message, promise);
    }
}
