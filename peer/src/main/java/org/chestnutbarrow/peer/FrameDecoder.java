package org.chestnutbarrow.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Splits the byte stream of a connection into frames and counts both. Confined to one event loop.
 *
 * <p>Invariant: a frame that exceeds the size limit is rejected on its length prefix, before its bytes are buffered.
 */
final class FrameDecoder extends ByteToMessageDecoder {
    private final TrafficCounter received;
    private int maxFrameBytes = Handshake.MAX_FRAME_BYTES;

    FrameDecoder(TrafficCounter received) {
        this.received = received;
    }

    /** Raises the frame size limit once the remote side has authenticated itself. */
    void authenticated() {
        maxFrameBytes = PeerCodec.MAX_FRAME_BYTES;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            received.addBytes(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws FrameException {
        if (in.readableBytes() < Integer.BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex());
        if (length <= 0 || length > maxFrameBytes) {
            in.skipBytes(in.readableBytes());
            throw new FrameException("frame length " + length + " is out of range: 1 to " + maxFrameBytes);
        }
        if (in.readableBytes() < Integer.BYTES + length) {
            return;
        }
        in.skipBytes(Integer.BYTES);
        byte[] frame = new byte[length];
        in.readBytes(frame);
        received.addFrame();
        out.add(frame);
    }
}
