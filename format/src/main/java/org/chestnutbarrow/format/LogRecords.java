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
 * Encodes log records as JSON objects with the id of the record, by which the outcome of an append with a lost response
 * is determined. A snapshot is encoded as a byte 1, id, position and compressed state instead, because base64 in JSON
 * would enlarge a record that is near the log's limit by one third. Safe for use by several threads.
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
    /** Maximum size of a record in the log. */
    public static final int MAX_BYTES = 1024 * 1024;

    /** Maximum size of an uncompressed state, so that a corrupt record cannot exhaust the heap. */
    private static final int MAX_STATE_BYTES = 64 * 1024 * 1024;

    /** First byte of a snapshot record; no JSON text starts with it. */
    private static final byte SNAPSHOT_MARKER = 1;

    private final AtomicLong unreadable = new AtomicLong();

    /** The result of decoding a record. */
    public sealed interface Decoded {}

    /** A decoded record with its id. */
    public record Read(String id, LogRecord record) implements Decoded {}

    /** A record that is malformed or of an unknown type; readers skip it. */
    public record Unreadable(String reason) implements Decoded {}

    private record Envelope(String id, LogRecord record) {}

    /** Encodes a record; {@code id} must be unique among all records. */
    public byte[] encode(String id, LogRecord record) {
        Checks.identifier("record id", id);
        try {
            if (record instanceof LogRecord.Snapshot snapshot) {
                return encodeSnapshot(id, snapshot);
            }
            return Json.MAPPER.writeValueAsBytes(new Envelope(id, record));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a record; never throws, whatever the bytes are. */
    public Decoded decode(byte[] data) {
        try {
            if (data.length > 0 && data[0] == SNAPSHOT_MARKER) {
                return decodeSnapshot(data);
            }
            Envelope envelope = Json.MAPPER.readValue(data, Envelope.class);
            return new Read(Checks.identifier("record id", envelope.id()), envelope.record());
        } catch (IOException | RuntimeException e) {
            unreadable.incrementAndGet();
            return new Unreadable(String.valueOf(e.getMessage()));
        }
    }

    private static byte[] encodeSnapshot(String id, LogRecord.Snapshot snapshot) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(snapshot.state().length + 256);
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(SNAPSHOT_MARKER);
        out.writeUTF(id);
        out.writeLong(snapshot.position());
        out.write(snapshot.state());
        return bytes.toByteArray();
    }

    private static Read decodeSnapshot(byte[] data) throws IOException {
        DataInputStream in = new DataInputStream(new ByteArrayInputStream(data, 1, data.length - 1));
        String id = Checks.identifier("record id", in.readUTF());
        return new Read(id, new LogRecord.Snapshot(in.readLong(), in.readAllBytes()));
    }

    /** Returns the number of records that could not be decoded so far. */
    public long unreadable() {
        return unreadable.get();
    }

    /** Creates a snapshot record with the compressed state. */
    public LogRecord.Snapshot snapshot(CatalogState state) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream compressed = new GZIPOutputStream(bytes)) {
            Json.MAPPER.writeValue(compressed, state);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new LogRecord.Snapshot(state.position(), bytes.toByteArray());
    }

    /**
     * Decodes the state in a snapshot record.
     *
     * @throws InvalidInputException if the state cannot be decoded; an earlier snapshot can be used instead
     */
    public CatalogState state(LogRecord.Snapshot snapshot) throws InvalidInputException {
        try (InputStream compressed = new GZIPInputStream(new ByteArrayInputStream(snapshot.state()))) {
            byte[] json = compressed.readNBytes(MAX_STATE_BYTES);
            CatalogState state = Json.MAPPER.readValue(json, CatalogState.class);
            Checks.require(state.position() == snapshot.position(), "position differs from the position of the state");
            return state;
        } catch (IOException | RuntimeException e) {
            throw new InvalidInputException("snapshot cannot be read: " + e.getMessage(), "use another snapshot", e);
        }
    }
}
