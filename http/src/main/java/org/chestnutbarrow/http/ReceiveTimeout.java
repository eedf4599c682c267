package org.chestnutbarrow.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose caller sends a request too slowly or none at all. Used on one event loop.
 *
 * <p>The timer for a request starts at its first byte and is not extended by further bytes, so a caller that sends one
 * byte at a time does not hold a connection longer than others.
 */
final class ReceiveTimeout extends ChannelInboundHandlerAdapter {
    private final Duration receive;
    private final Duration idle;
    private ChannelHandlerContext ctx;
    private Future<?> timer;
    private boolean receiving;

    ReceiveTimeout(Duration receive, Duration idle) {
        this.receive = receive;
        this.idle = idle;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        ctx = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext ignored) {
        schedule(idle);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (!receiving) {
            receiving = true;
            schedule(receive);
        }
        ctx.fireChannelRead(message);
    }

    /** Stops the timer while the request is being answered. */
    void received() {
        cancel();
    }

    /** Whether part of a request has come that is not answered yet. */
    boolean receiving() {
        return receiving;
    }

    /** Starts the idle timer; the answer has to be written within it too. */
    void answered() {
        receiving = false;
        if (!ctx.isRemoved()) {
            schedule(idle);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        cancel();
        ctx.fireChannelInactive();
    }

    private void schedule(Duration delay) {
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
