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
 * One direction of a proxied connection. Both channels of a connection and both lanes are used on one event loop.
 *
 * <p>Invariant: bytes leave in the order in which they came, also when the delay changes.
 */
final class ProxyLane extends ChannelInboundHandlerAdapter {
    private final ProxyPair pair;
    private final ProxyFault.Direction direction;
    private final SocketChannel from;
    private final SocketChannel to;
    private long faultVersion;
    private long bytesUnderFault;
    private int waiting;
    private long lastDue = System.nanoTime();

    ProxyLane(ProxyPair pair, ProxyFault.Direction direction, SocketChannel from, SocketChannel to) {
        this.pair = pair;
        this.direction = direction;
        this.from = from;
        this.to = to;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        ProxyPair.Setting setting = pair.setting();
        if (setting.version() != faultVersion) {
            faultVersion = setting.version();
            bytesUnderFault = 0;
        }
        boolean toCaller = direction == ProxyFault.Direction.TO_CALLER;
        switch (setting.fault()) {
            case ProxyFault.Delay(long ms) -> pass(bytes, Duration.ofMillis(ms));
            case ProxyFault.Drop(ProxyFault.Direction dropped) when dropped == direction -> bytes.release();
            case ProxyFault.CutAfter(long limit) when toCaller -> passUpTo(limit, bytes);
            case ProxyFault.Duplicate duplicate
            when toCaller -> {
                pass(bytes.retainedDuplicate(), Duration.ZERO);
                pass(bytes, Duration.ZERO);
            }
            case ProxyFault.Cut _ -> bytes.release();
            case ProxyFault.None _,
                    ProxyFault.Freeze _,
                    ProxyFault.Drop _,
                    ProxyFault.HalfClose _,
                    ProxyFault.CutAfter _,
                    ProxyFault.Duplicate _ -> pass(bytes, Duration.ZERO);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        // The source of this lane is where the other lane writes to.
        pair.refresh(from, to);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            inOrder(Duration.ZERO, this::endOutput);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        inOrder(Duration.ZERO, () -> to.close());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Ends this direction; closes the connection if the other one has ended too. */
    void endOutput() {
        if (to.isInputShutdown()) {
            to.close();
            from.close();
        } else {
            to.shutdownOutput();
        }
    }

    private void passUpTo(long limit, ByteBuf bytes) {
        long room = Math.max(0, limit - bytesUnderFault);
        bytesUnderFault += bytes.readableBytes();
        if (bytesUnderFault < limit) {
            pass(bytes, Duration.ZERO);
            return;
        }
        ByteBuf last = bytes.slice(bytes.readerIndex(), (int) Math.min(room, bytes.readableBytes()));
        inOrder(Duration.ZERO, () -> to.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE));
    }

    private void pass(ByteBuf bytes, Duration delay) {
        inOrder(delay, () -> {
            if (to.isActive()) {
                to.writeAndFlush(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
            }
        });
    }

    private void inOrder(Duration delay, Runnable step) {
        long now = System.nanoTime();
        long due = now + delay.toNanos();
        if (waiting == 0 && due - now <= 0) {
            step.run();
            return;
        }
        lastDue = waiting > 0 && lastDue - due > 0 ? lastDue : due;
        waiting++;
        from.eventLoop()
                .schedule(
                        () -> {
                            waiting--;
                            step.run();
                        },
                        lastDue - now,
                        TimeUnit.NANOSECONDS);
    }
}
