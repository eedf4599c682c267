package org.chestnutbarrow.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose caller sends a request too slowly or none at all. Used on one event loop.
 *
 * <p>The timer for a request starts at its first byte and is not extended by further bytes, so a caller that sends one
 * byte at a time does not hold a connection longer than others.
 */
final class ReceiveTimeout extends ChannelDuplexHandler {
    private final Duration receive;
    private final Duration idle;
    private Future<?> timer;
    private boolean receiving;

    ReceiveTimeout(Duration receive, Duration idle) {
        this.receive = receive;
        this.idle = idle;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        schedule(ctx, idle);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!receiving) {
            receiving = true;
            schedule(ctx, receive);
        }
        ctx.fireChannelRead(message);
    }

    /** Stops the timer while the request is being answered. */
    void received() {
        cancel();
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        receiving = false;
        schedule(ctx, idle);
        ctx.write(message, promise);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancel();
        ctx.fireChannelInactive();
    }

    private void schedule(ChannelHandlerContext ctx, Duration delay) {
        cancel();
        timer = ctx.executor().schedule(() -> ctx.close(), delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
