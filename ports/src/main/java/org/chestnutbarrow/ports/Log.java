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
     * @param id the record's id, for the platform's own log lines
     * @param record at most 1 MiB
     * @return the record's offset
     * @throws NotRunException if the record was not appended
     * @throws OutcomeUnknownException if it may have been appended; read the log for it before appending again
     */
    long append(String id, byte[] record) throws NotRunException, OutcomeUnknownException;

    /**
     * Reads records from an offset.
     *
     * @param from first offset wanted; if it has expired, the batch starts at the oldest record kept
     * @param max most records to return
     * @param wait longest time to wait for a record at {@code from}; the batch is empty after that
     * @throws UnavailableException if there was no answer
     */
    Batch read(long from, int max, Duration wait) throws UnavailableException;

    /**
     * Some records in order.
     *
     * @param first oldest offset that the log keeps
     * @param next offset that the next append will get
     * @param records records in order of offset
     */
    record Batch(long first, long next, List<Entry> records) {
        public Batch {
            records = List.copyOf(records);
        }
    }

    /**
     * One record with its offset.
     *
     * @param offset position in the log
     * @param data the record as appended
     */
    record Entry(long offset, byte[] data) {}
}
