package org.chestnutbarrow.format;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.chestnutbarrow.catalog.CatalogState;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.InvalidInputException;
import org.chestnutbarrow.model.LogRecord;

/**
 * Log records as bytes: a JSON object with the record's own id, by which a lost answer is resolved, and the record. A
 * snapshot is a byte 1, id, position and packed state instead, because base64 in JSON would make a third more of a
 * record that is near the log's limit. Safe for use by several threads.
 *
 * <pre>{@code
 * byte[] data = records.encode("d1-7-12", record);
 * switch (records.decode(data)) {
 *     case LogRecords.Read read -> catalog.apply(offset, read.record());
 *     case LogRecords.Unreadable unreadable -> catalog.skip(offset);
 * }
 * }</pre>
 */
public final class LogRecords {
    /** Most bytes that the log takes for one record. */
    public static final int MAX_BYTES = 1024 * 1024;

    /** Most bytes that a state may have when unpacked, so that a bad record cannot exhaust the heap. */
    private static final int MAX_STATE_BYTES = 64 * 1024 * 1024;

    /** First byte of a snapshot; no JSON text starts with it. */
    private static final byte SNAPSHOT = 1;

    private final AtomicLong unreadable = new AtomicLong();

    /** What became of the bytes of a record. */
    public sealed interface Decoded {}

    /** A record with its own id. */
    public record Read(String id, LogRecord record) implements Decoded {}

    /** Bytes of an unknown or malformed record; pass over it. */
    public record Unreadable(String reason) implements Decoded {}

    private record Envelope(String id, LogRecord record) {}

    /** The bytes of a record; {@code id} must be unique among all records. */
    public byte[] encode(String id, LogRecord record) {
        Checks.identifier("record id", id);
        try {
            if (record instanceof LogRecord.Snapshot snapshot) {
                return frame(id, snapshot);
            }
            return Json.MAPPER.writeValueAsBytes(new Envelope(id, record));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a record; never throws, whatever the bytes are. */
    public Decoded decode(byte[] data) {
        try {
            if (data.length > 0 && data[0] == SNAPSHOT) {
                return unframe(data);
            }
            Envelope envelope = Json.MAPPER.readValue(data, Envelope.class);
            return new Read(Checks.identifier("record id", envelope.id()), envelope.record());
        } catch (IOException | RuntimeException e) {
            unreadable.incrementAndGet();
            return new Unreadable(String.valueOf(e.getMessage()));
        }
    }

    private static byte[] frame(String id, LogRecord.Snapshot snapshot) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(snapshot.state().length + 256);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(SNAPSHOT);
        out.writeUTF(id);
        out.writeLong(snapshot.position());
        out.write(snapshot.state());
        return bytes.toByteArray();
    }

    private static Read unframe(byte[] data) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(data, 1, data.length - 1));
        String id = Checks.identifier("record id", in.readUTF());
        return new Read(id, new LogRecord.Snapshot(in.readLong(), in.readAllBytes()));
    }

    /** Number of records that could not be read so far. */
    public long unreadable() {
        return unreadable.get();
    }

    /** A snapshot record of the state, packed. */
    public LogRecord.Snapshot snapshot(CatalogState state) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream packed = new GZIPOutputStream(bytes)) {
            Json.MAPPER.writeValue(packed, state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new LogRecord.Snapshot(state.position(), bytes.toByteArray());
    }

    /**
     * The state in a snapshot record.
     *
     * @throws InvalidInputException if it cannot be read; nothing is lost, use another snapshot
     */
    public CatalogState state(LogRecord.Snapshot snapshot) throws InvalidInputException {
        try (InputStream packed = new GZIPInputStream(new ByteArrayInputStream(snapshot.state()))) {
            byte[] json = packed.readNBytes(MAX_STATE_BYTES);
            CatalogState state = Json.MAPPER.readValue(json, CatalogState.class);
            Checks.require(state.position() == snapshot.position(), "position differs from that of the state");
            return state;
        } catch (IOException | RuntimeException e) {
            throw new InvalidInputException("snapshot cannot be read: " + e.getMessage(), "use another snapshot", e);
        }
    }
}
