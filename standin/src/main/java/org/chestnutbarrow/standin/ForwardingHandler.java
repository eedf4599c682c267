package org.chestnutbarrow.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Forwards one direction of a proxied connection. Both channels and both handlers of a connection run on the same event
 * loop.
 *
 * <p>Invariant: data is forwarded in the order received, even if the delay changes.
 */
final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final ProxyPair pair;
    private final ProxyFault.Direction direction;
    private final SocketChannel source;
    private final SocketChannel destination;
    private long faultVersion;
    private long bytesSinceFaultSet;
    private int pendingActions;
    private long lastDueNanos = System.nanoTime();

    ForwardingHandler(ProxyPair pair, ProxyFault.Direction direction, SocketChannel source, SocketChannel destination) {
        this.pair = pair;
        this.direction = direction;
        this.source = source;
        this.destination = destination;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        ProxyPair.FaultSetting faultSetting = pair.faultSetting();
        if (faultSetting.version() != faultVersion) {
            faultVersion = faultSetting.version();
            bytesSinceFaultSet = 0;
        }
        boolean toCaller = direction == ProxyFault.Direction.TO_CALLER;
        switch (faultSetting.fault()) {
            case ProxyFault.Delay(long ms) -> forward(bytes, Duration.ofMillis(ms));
            case ProxyFault.Drop(ProxyFault.Direction dropped) when dropped == direction -> bytes.release();
            case ProxyFault.CutAfter(long limit) when toCaller -> forwardUpTo(limit, bytes);
            case ProxyFault.Duplicate duplicate
            when toCaller -> {
                forward(bytes.retainedDuplicate(), Duration.ZERO);
                forward(bytes, Duration.ZERO);
            }
            case ProxyFault.Cut _ -> bytes.release();
            case ProxyFault.None _,
                    ProxyFault.Freeze _,
                    ProxyFault.Drop _,
                    ProxyFault.HalfClose _,
                    ProxyFault.CutAfter _,
                    ProxyFault.Duplicate _ -> forward(bytes, Duration.ZERO);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        // The opposite handler writes to the source of this one, so its writability controls reading.
        pair.updateAutoRead(source, destination);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            runInOrder(Duration.ZERO, this::shutdownOutput);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        runInOrder(Duration.ZERO, () -> destination.close());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Half-closes this direction; closes the connection if the opposite direction has been shut down too. */
    void shutdownOutput() {
        if (destination.isInputShutdown()) {
            destination.close();
            source.close();
        } else {
            destination.shutdownOutput();
        }
    }

    private void forwardUpTo(long limit, ByteBuf bytes) {
        long allowed = Math.max(0, limit - bytesSinceFaultSet);
        bytesSinceFaultSet += bytes.readableBytes();
        if (bytesSinceFaultSet < limit) {
            forward(bytes, Duration.ZERO);
            return;
        }
        ByteBuf last = bytes.slice(bytes.readerIndex(), (int) Math.min(allowed, bytes.readableBytes()));
        runInOrder(Duration.ZERO, () -> destination.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE));
    }

    private void forward(ByteBuf bytes, Duration delay) {
        runInOrder(delay, () -> {
            if (destination.isActive()) {
                destination.writeAndFlush(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        });
    }

    private void runInOrder(Duration delay, Runnable action) {
        long now = System.nanoTime();
        long dueNanos = now + delay.toNanos();
        if (pendingActions == 0 && dueNanos - now <= 0) {
            action.run();
            return;
        }
        lastDueNanos = pendingActions > 0 && lastDueNanos - dueNanos > 0 ? lastDueNanos : dueNanos;
        pendingActions++;
        source.eventLoop()
                .schedule(
                        () -> {
                            pendingActions--;
                            action.run();
                        },
                        lastDueNanos - now,
                        TimeUnit.NANOSECONDS);
    }
}
