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
 * Reads the fields of one frame. Used by one thread.
 *
 * <p>Invariants: every length is checked against the bytes that are left before anything is allocated for it; nesting is
 * as deep as the calls of the reader and never follows the input.
 */
final class FieldReader {
    static final int RESOURCE_KINDS = 5;

    private final MessageUnpacker unpacker;
    private final int length;

    FieldReader(byte[] frame) {
        unpacker = MessagePack.newDefaultUnpacker(frame);
        length = frame.length;
    }

    /** Reads one value of a list or optional. */
    interface Read<T> {
        T from(FieldReader reader) throws FrameException;
    }

    private interface Step<T> {
        T run() throws IOException, FrameException;
    }

    /** The size of an array; each element takes at least one byte. */
    int array() throws FrameException {
        return read(() -> bounded(unpacker.unpackArrayHeader()));
    }

    void array(int size) throws FrameException {
        int actual = array();
        if (actual != size) {
            throw new FrameException("array has " + actual + " elements instead of " + size);
        }
    }

    long number() throws FrameException {
        return read(unpacker::unpackLong);
    }

    int smallNumber() throws FrameException {
        return read(unpacker::unpackInt);
    }

    boolean flag() throws FrameException {
        return read(unpacker::unpackBoolean);
    }

    String text() throws FrameException {
        return read(() -> {
            byte[] bytes = unpacker.readPayload(bounded(unpacker.unpackRawStringHeader()));
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        });
    }

    byte[] bytes() throws FrameException {
        return read(() -> unpacker.readPayload(bounded(unpacker.unpackBinaryHeader())));
    }

    Duration duration() throws FrameException {
        return Duration.ofNanos(number());
    }

    <E extends Enum<E>> E name(Class<E> type) throws FrameException {
        return Enum.valueOf(type, text());
    }

    <T> Optional<T> optional(Read<T> value) throws FrameException {
        MessageFormat next = read(unpacker::getNextFormat);
        if (next == MessageFormat.NIL) {
            read(() -> {
                unpacker.unpackNil();
                return next;
            });
            return Optional.empty();
        }
        return Optional.of(value.from(this));
    }

    <T> List<T> list(Read<T> element) throws FrameException {
        return list(element, length);
    }

    <T> List<T> list(Read<T> element, int max) throws FrameException {
        int size = array();
        if (size > max) {
            throw new FrameException("list has more than " + max + " elements");
        }
        List<T> result = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            result.add(element.from(this));
        }
        return result;
    }

    Resources resources() throws FrameException {
        array(RESOURCE_KINDS);
        return new Resources(smallNumber(), smallNumber(), smallNumber(), number(), smallNumber());
    }

    /** Checks that the frame has no further bytes. */
    void end() throws FrameException {
        if (remaining() != 0) {
            throw new FrameException(remaining() + " bytes follow the message");
        }
    }

    private long remaining() {
        return length - unpacker.getTotalReadBytes();
    }

    private int bounded(int size) throws FrameException {
        if (size < 0 || size > remaining()) {
            throw new FrameException("length " + size + " is larger than the rest of the frame");
        }
        return size;
    }

    private static <T> T read(Step<T> step) throws FrameException {
        try {
            return step.run();
        } catch (CharacterCodingException e) {
            throw new FrameException("text is not UTF-8", e);
        } catch (IOException | MessagePackException e) {
            throw new FrameException("malformed field: " + e.getMessage(), e);
        }
    }
}
