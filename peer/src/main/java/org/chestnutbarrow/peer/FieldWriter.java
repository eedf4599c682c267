package org.chestnutbarrow.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.chestnutbarrow.model.Resources;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one frame as MessagePack. Used by one thread. */
final class FieldWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** A step that packs one value; writing to memory does not fail. */
    private interface Step {
        void run() throws IOException;
    }

    FieldWriter array(int size) {
        return write(() -> packer.packArrayHeader(size));
    }

    FieldWriter number(long value) {
        return write(() -> packer.packLong(value));
    }

    FieldWriter flag(boolean value) {
        return write(() -> packer.packBoolean(value));
    }

    FieldWriter text(String value) {
        return write(() -> packer.packString(value));
    }

    FieldWriter bytes(byte[] value) {
        return write(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    /** A time in nanoseconds. */
    FieldWriter duration(Duration value) {
        return number(value.toNanos());
    }

    FieldWriter name(Enum<?> value) {
        return text(value.name());
    }

    <T> FieldWriter optional(Optional<T> value, BiConsumer<FieldWriter, T> write) {
        if (value.isEmpty()) {
            return write(packer::packNil);
        }
        write.accept(this, value.get());
        return this;
    }

    <T> FieldWriter list(Collection<T> values, BiConsumer<FieldWriter, T> write) {
        array(values.size());
        values.forEach(value -> write.accept(this, value));
        return this;
    }

    FieldWriter resources(Resources value) {
        return array(FieldReader.RESOURCE_KINDS)
                .number(value.slots())
                .number(value.connections())
                .number(value.milliCores())
                .number(value.memoryMiB())
                .number(value.accelerators());
    }

    byte[] toBytes() {
        return packer.toByteArray();
    }

    private FieldWriter write(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return this;
    }
}
