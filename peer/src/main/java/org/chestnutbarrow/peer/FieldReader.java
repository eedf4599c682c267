package org.chestnutbarrow.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Resources;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of one MessagePack frame. Not thread-safe.
 *
 * <p>Invariants: every length is checked against the number of remaining bytes before memory is allocated for it; the
 * recursion depth is determined by the caller and never by the input.
 */
final class FieldReader {
    static final int RESOURCE_FIELDS = 5;

    private final MessageUnpacker unpacker;
    private final int frameLength;

    FieldReader(byte[] frame) {
        unpacker = MessagePack.newDefaultUnpacker(frame);
        frameLength = frame.length;
    }

    /** Reads an element of a list or the value of an optional field. */
    interface ElementReader<T> {
        T read(FieldReader reader) throws FrameException;
    }

    private interface Unpacking<T> {
        T run() throws IOException, FrameException;
    }

    /**
     * Returns the size of an array, which is limited by the remaining bytes as each element takes at least one byte.
     */
    int readArrayHeader() throws FrameException {
        return unpack(() -> checkLength(unpacker.unpackArrayHeader()));
    }

    void expectArrayHeader(int size) throws FrameException {
        int actual = readArrayHeader();
        if (actual != size) {
            throw new FrameException("array has " + actual + " elements instead of " + size);
        }
    }

    long readLong() throws FrameException {
        return unpack(unpacker::unpackLong);
    }

    int readInt() throws FrameException {
        return unpack(unpacker::unpackInt);
    }

    boolean readBoolean() throws FrameException {
        return unpack(unpacker::unpackBoolean);
    }

    String readString() throws FrameException {
        return unpack(() -> {
            byte[] bytes = unpacker.readPayload(checkLength(unpacker.unpackRawStringHeader()));
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        });
    }

    byte[] readBytes() throws FrameException {
        return unpack(() -> unpacker.readPayload(checkLength(unpacker.unpackBinaryHeader())));
    }

    Duration readDuration() throws FrameException {
        return Duration.ofNanos(readLong());
    }

    <E extends Enum<E>> E readEnum(Class<E> type) throws FrameException {
        return Enum.valueOf(type, readString());
    }

    <T> Optional<T> readOptional(ElementReader<T> value) throws FrameException {
        MessageFormat format = unpack(unpacker::getNextFormat);
        if (format == MessageFormat.NIL) {
            unpack(() -> {
                unpacker.unpackNil();
                return format;
            });
            return Optional.empty();
        }
        return Optional.of(value.read(this));
    }

    <T> List<T> readList(ElementReader<T> element) throws FrameException {
        return readList(element, frameLength);
    }

    <T> List<T> readList(ElementReader<T> element, int maxSize) throws FrameException {
        int size = readArrayHeader();
        if (size > maxSize) {
            throw new FrameException("list has more than " + maxSize + " elements");
        }
        List<T> result = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            result.add(element.read(this));
        }
        return result;
    }

    Resources readResources() throws FrameException {
        expectArrayHeader(RESOURCE_FIELDS);
        return new Resources(readInt(), readInt(), readInt(), readLong(), readInt());
    }

    /** Checks that the whole frame has been read. */
    void expectEnd() throws FrameException {
        if (remaining() != 0) {
            throw new FrameException(remaining() + " trailing bytes after the message");
        }
    }

    private long remaining() {
        return frameLength - unpacker.getTotalReadBytes();
    }

    private int checkLength(int size) throws FrameException {
        if (size < 0 || size > remaining()) {
            throw new FrameException("length " + size + " exceeds the remaining bytes of the frame");
        }
        return size;
    }

    private static <T> T unpack(Unpacking<T> unpacking) throws FrameException {
        try {
            return unpacking.run();
        } catch (CharacterCodingException e) {
            throw new FrameException("string is not valid UTF-8", e);
        } catch (IOException | MessagePackException e) {
            throw new FrameException("malformed field: " + e.getMessage(), e);
        }
    }
}
