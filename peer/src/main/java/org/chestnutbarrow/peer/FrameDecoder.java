package org.chestnutbarrow.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;

/**
 * Splits the bytes of a connection into frames and counts them. Used on one event loop.
 *
 * <p>Invariant: a frame longer than the limit fails at its length, before its bytes are kept.
 */
final class FrameDecoder extends ByteToMessageDecoder {
    private final Traffic received;
    private int limit = Handshake.MAX_FRAME_BYTES;

    FrameDecoder(Traffic received) {
        this.received = received;
    }

    /** Allows frames of full size from now on. */
    void authenticated() {
        limit = PeerCodec.MAX_FRAME_BYTES;
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
        if (length <= 0 || length > limit) {
            in.skipBytes(in.readableBytes());
            throw new FrameException("frame length " + length + " is not from 1 to " + limit);
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
