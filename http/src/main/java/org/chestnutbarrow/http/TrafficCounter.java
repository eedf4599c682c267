package org.chestnutbarrow.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes received and sent on all connections of a client. Thread-safe. */
@Sharable
final class TrafficCounter extends ChannelDuplexHandler {
    private final LongAdder received = new LongAdder();
    private final LongAdder sent = new LongAdder();

    long bytesReceived() {
        return received.sum();
    }

    long bytesSent() {
        return sent.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            received.add(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
        if (message instanceof ByteBuf bytes) {
            sent.add(bytes.readableBytes());
        }
        super.write(ctx, message, promise);
    }
}
