package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.TimeSource;

/**
 * In-memory record store of the log. Thread-safe; a single lock, since the log is totally ordered.
 *
 * <p>Invariants: offsets are contiguous; a record is retained until it exceeds the maximum age or more than the maximum
 * number of records are stored.
 */
final class LogStore {
    /** Bounds the size of a response, since readers limit the body size that they accept. */
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    private final TimeSource time;
    private final Duration maxAge;
    private final int maxCount;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition recordAppended = lock.newCondition();
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private long nextOffset;

    LogStore(TimeSource time, Duration maxAge, int maxCount) {
        this.time = time;
        this.maxAge = maxAge;
        this.maxCount = maxCount;
    }

    long append(byte[] data) {
        lock.lock();
        try {
            entries.put(nextOffset, new Entry(data, time.nanos()));
            nextOffset++;
            expire();
            recordAppended.signalAll();
            return nextOffset - 1;
        } finally {
            lock.unlock();
        }
    }

    Batch read(long from, int maxRecords, Duration wait) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long remainingNanos = wait.toNanos();
            while (from >= nextOffset && remainingNanos > 0) {
                remainingNanos = recordAppended.awaitNanos(remainingNanos);
            }
            expire();
            return batch(from, maxRecords);
        } finally {
            lock.unlock();
        }
    }

    private Batch batch(long from, int maxRecords) {
        List<LogRecord> batchRecords = new ArrayList<>();
        long bytes = 0;
        for (var entry : entries.tailMap(from).entrySet()) {
            byte[] data = entry.getValue().data();
            bytes += data.length;
            if (batchRecords.size() == maxRecords || (bytes > MAX_BATCH_BYTES && !batchRecords.isEmpty())) {
                break;
            }
            batchRecords.add(new LogRecord(entry.getKey(), data));
        }
        return new Batch(entries.isEmpty() ? nextOffset : entries.firstKey(), nextOffset, batchRecords);
    }

    private void expire() {
        long now = time.nanos();
        while (!entries.isEmpty()) {
            Entry oldest = entries.firstEntry().getValue();
            if (entries.size() <= maxCount && now - oldest.nanos() <= maxAge.toNanos()) {
                return;
            }
            entries.pollFirstEntry();
        }
    }

    private record Entry(byte[] data, long nanos) {}

    /** Response body of a read; Jackson encodes the record data as base64. */
    record Batch(long first, long next, List<LogRecord> records) {}

    /** A log record with its offset. */
    record LogRecord(long offset, byte[] data) {}
}
