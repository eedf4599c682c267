package org.chestnutbarrow.ports;

import java.time.Duration;
import java.util.List;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.UnavailableException;

/** The platform's append-only log. Implementations are safe for use by several threads; calls block. */
public interface Log {
    /**
     * Appends one record.
     *
     * @param id id of the record, written to the platform's own log lines
     * @param record at most 1 MiB
     * @return offset of the record
     * @throws NotRunException if the record was not appended
     * @throws OutcomeUnknownException if the record may have been appended; search the log for it before retrying
     */
    long append(String id, byte[] record) throws NotRunException, OutcomeUnknownException;

    /**
     * Reads records from an offset.
     *
     * @param from first offset to read; if it has expired, the batch starts at the oldest retained record
     * @param maxRecords maximum number of records to return
     * @param wait maximum time to wait for a record at {@code from}, after which an empty batch is returned
     * @throws UnavailableException if no valid response was received
     */
    Batch read(long from, int maxRecords, Duration wait) throws UnavailableException;

    /**
     * Consecutive records of the log.
     *
     * @param first oldest offset that the log retains
     * @param next offset of the next append
     * @param records records ordered by offset
     */
    record Batch(long first, long next, List<Entry> records) {
        public Batch {
            records = List.copyOf(records);
        }
    }

    /**
     * A record and its offset.
     *
     * @param offset position in the log
     * @param data content of the record
     */
    record Entry(long offset, byte[] data) {}
}
