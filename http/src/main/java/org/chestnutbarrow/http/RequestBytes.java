package org.chestnutbarrow.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * Counts the bytes of the current request of a connection towards the budget of its server, before they are decoded.
 * Fields are confined to the event loop.
 *
 * <p>Invariant: nothing is passed on after the request was refused.
 */
final class RequestBytes extends ChannelInboundHandlerAdapter implements ReceiveBudget.Holder {
    /** Sent through the pipeline when the budget refuses the request. */
    record RefusedEvent() {}

    private final ReceiveBudget budget;
    private ChannelHandlerContext ctx;
    private boolean discarding;
    /** Whether a complete request is handled, whose bytes count until it is answered, also on a closed connection. */
    private boolean handling;

    RequestBytes(ReceiveBudget budget) {
        this.budget = budget;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        ctx = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (!discarding && message instanceof ByteBuf received) {
            budget.add(this, received.readableBytes());
        }
        // The call may have refused this request.
        if (discarding) {
            ReferenceCountUtil.release(message);
        } else {
            ctx.fireChannelRead(message);
        }
    }

    @Override
    public void refuse() {
        if (ctx.executor().inEventLoop()) {
            fireRefused();
        } else {
            ctx.executor().execute(this::fireRefused);
        }
    }

    private void fireRefused() {
        if (!discarding) {
            discard();
            ctx.fireUserEventTriggered(new RefusedEvent());
        }
    }

    /** Discards all further bytes of this connection. */
    void discard() {
        discarding = true;
        if (!handling) {
            budget.remove(this);
        }
    }

    /** Records that the request is complete. */
    void requestReceived() {
        handling = true;
        budget.completed(this);
    }

    /** Records that the request was answered. */
    void requestEnded() {
        handling = false;
        budget.remove(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        discard();
        ctx.fireChannelInactive();
    }
}
