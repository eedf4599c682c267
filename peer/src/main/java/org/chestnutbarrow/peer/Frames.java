package org.chestnutbarrow.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Frames that belong to the connection itself, and the way all frames are written. Stateless. */
final class Frames {
    /** Longest time from the opening of a connection to the end of its handshake. */
    static final long HANDSHAKE_TIMEOUT_MILLIS = 2_000;

    /** The connecting side asks for a sign of life after this time without one. */
    static final long PING_AFTER_MILLIS = 1_000;

    /** A connection without a sign of life for this many periods is closed, so that a partition does not keep it. */
    static final int MAX_SILENT_PERIODS = 3;

    private static final int PING = 4;
    private static final int PONG = 5;
    private static final byte[] PING_FRAME = control(PING);
    private static final byte[] PONG_FRAME = control(PONG);

    private Frames() {}

    static byte[] ping() {
        return PING_FRAME;
    }

    static byte[] pong() {
        return PONG_FRAME;
    }

    static boolean isPing(byte[] frame) {
        return Arrays.equals(frame, PING_FRAME);
    }

    static boolean isPong(byte[] frame) {
        return Arrays.equals(frame, PONG_FRAME);
    }

    static ChannelFuture write(Channel channel, byte[] frame, Traffic sent) {
        ByteBuf bytes = channel.alloc().buffer(Integer.BYTES + frame.length);
        bytes.writeInt(frame.length).writeBytes(frame);
        sent.addBytes(Integer.BYTES + frame.length);
        sent.addFrame();
        return channel.writeAndFlush(bytes);
    }

    /** Closes the connection if its handshake has not ended in time. */
    static void limitHandshake(Channel channel, HandshakeState state) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!state.complete()) {
                                channel.close();
                            }
                        },
                        HANDSHAKE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Tells whether the other side has proved that it knows the key; asked on the event loop. */
    interface HandshakeState {
        boolean complete();
    }

    private static byte[] control(int type) {
        return new FieldWriter()
                .array(2)
                .number(type)
                .number(PeerCodec.NO_ANSWER)
                .toBytes();
    }
}
