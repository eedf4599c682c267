package org.chestnutbarrow.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.Collection;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.chestnutbarrow.model.Resources;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of one frame as MessagePack. Not thread-safe. */
final class FieldWriter {
    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /** Packs one value; never fails, because the packer writes to memory. */
    private interface Packing {
        void run() throws IOException;
    }

    FieldWriter writeArrayHeader(int size) {
        return pack(() -> packer.packArrayHeader(size));
    }

    FieldWriter writeLong(long value) {
        return pack(() -> packer.packLong(value));
    }

    FieldWriter writeBoolean(boolean value) {
        return pack(() -> packer.packBoolean(value));
    }

    FieldWriter writeString(String value) {
        return pack(() -> packer.packString(value));
    }

    FieldWriter writeBytes(byte[] value) {
        return pack(() -> {
            packer.packBinaryHeader(value.length);
            packer.writePayload(value);
        });
    }

    /** Writes a duration in nanoseconds. */
    FieldWriter writeDuration(Duration value) {
        return writeLong(value.toNanos());
    }

    FieldWriter writeEnum(Enum<?> value) {
        return writeString(value.name());
    }

    <T> FieldWriter writeOptional(Optional<T> value, BiConsumer<FieldWriter, T> elementWriter) {
        if (value.isEmpty()) {
            return pack(packer::packNil);
        }
        elementWriter.accept(this, value.get());
        return this;
    }

    <T> FieldWriter writeList(Collection<T> values, BiConsumer<FieldWriter, T> elementWriter) {
        writeArrayHeader(values.size());
        values.forEach(value -> elementWriter.accept(this, value));
        return this;
    }

    FieldWriter writeResources(Resources value) {
        return writeArrayHeader(FieldReader.RESOURCE_FIELDS)
                .writeLong(value.slots())
                .writeLong(value.connections())
                .writeLong(value.milliCores())
                .writeLong(value.memoryMiB())
                .writeLong(value.accelerators());
    }

    byte[] toBytes() {
        return packer.toByteArray();
    }

    private FieldWriter pack(Packing packing) {
        try {
            packing.run();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
        return this;
    }
}
