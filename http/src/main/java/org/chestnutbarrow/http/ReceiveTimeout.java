package org.chestnutbarrow.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose client sends a request too slowly or none at all. Confined to one event loop.
 *
 * <p>The timer for a request starts at its first byte and is not extended by further bytes, so a client that sends one
 * byte at a time cannot occupy a connection for longer than others.
 */
final class ReceiveTimeout extends ChannelInboundHandlerAdapter {
    private final Duration receiveTimeout;
    private final Duration idleTimeout;
    private ChannelHandlerContext ctx;
    private Future<?> timer;
    private boolean receiving;

    ReceiveTimeout(Duration receiveTimeout, Duration idleTimeout) {
        this.receiveTimeout = receiveTimeout;
        this.idleTimeout = idleTimeout;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        ctx = added;
    }

    @Override
    public void channelActive(ChannelHandlerContext ignored) {
        schedule(idleTimeout);
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (!receiving) {
            receiving = true;
            schedule(receiveTimeout);
        }
        ctx.fireChannelRead(message);
    }

    /** Stops the timer while the request is being handled. */
    void requestReceived() {
        cancel();
    }

    /** Returns whether a request has been received, at least in part, that has no response yet. */
    boolean isReceiving() {
        return receiving;
    }

    /** Starts the idle timer, which also limits the time for writing the response. */
    void responseReady() {
        receiving = false;
        if (!ctx.isRemoved()) {
            schedule(idleTimeout);
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
