package org.chestnutbarrow.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Control frames of a connection, and the writing of frames with their length prefix. Stateless. */
final class Frames {
    /** Maximum time from opening a connection to completing its handshake. */
    static final long HANDSHAKE_TIMEOUT_MILLIS = 2_000;

    /** The connecting side sends a ping after receiving nothing for this time. */
    static final long PING_AFTER_IDLE_MILLIS = 1_000;

    /** A connection that stays idle for more than this many periods is closed, so that a partition is detected. */
    static final int MAX_IDLE_PERIODS = 3;

    private static final int PING = 4;
    private static final int PONG = 5;
    private static final byte[] PING_FRAME = controlFrame(PING);
    private static final byte[] PONG_FRAME = controlFrame(PONG);

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

    static ChannelFuture write(Channel channel, byte[] frame, TrafficCounter sent) {
        ByteBuf buffer = channel.alloc().buffer(Integer.BYTES + frame.length);
        buffer.writeInt(frame.length).writeBytes(frame);
        sent.addBytes(Integer.BYTES + frame.length);
        sent.addFrame();
        return channel.writeAndFlush(buffer);
    }

    /** Closes the connection if its handshake is not complete within the handshake timeout. */
    static void closeUnlessAuthenticated(Channel channel, HandshakeStatus handshake) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!handshake.isComplete()) {
                                channel.close();
                            }
                        },
                        HANDSHAKE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Whether the remote side has proved that it knows the key; called on the event loop. */
    interface HandshakeStatus {
        boolean isComplete();
    }

    private static byte[] controlFrame(int type) {
        return new FieldWriter()
                .writeArrayHeader(2)
                .writeLong(type)
                .writeLong(PeerCodec.NO_RESPONSE)
                .toBytes();
    }
}
