package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.TimeSource;

/**
 * The records of the log. Safe for use by several threads; one lock, as the log is one total order.
 *
 * <p>Invariants: offsets have no gaps; a record is kept until it is older than the retention age or further than the
 * retention count from the end.
 */
final class LogStore {
    /** Bounds an answer; readers limit the size of the bodies that they accept. */
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    private final TimeSource time;
    private final Duration maxAge;
    private final int maxCount;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition appended = lock.newCondition();
    private final TreeMap<Long, Entry> entries = new TreeMap<>();
    private long next;

    LogStore(TimeSource time, Duration maxAge, int maxCount) {
        this.time = time;
        this.maxAge = maxAge;
        this.maxCount = maxCount;
    }

    long append(byte[] data) {
        lock.lock();
        try {
            entries.put(next, new Entry(data, time.nanos()));
            next++;
            expire();
            appended.signalAll();
            return next - 1;
        } finally {
            lock.unlock();
        }
    }

    Batch read(long from, int max, Duration wait) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long left = wait.toNanos();
            while (from >= next && left > 0) {
                left = appended.awaitNanos(left);
            }
            expire();
            return batch(from, max);
        } finally {
            lock.unlock();
        }
    }

    private Batch batch(long from, int max) {
        List<Item> items = new ArrayList<>();
        long bytes = 0;
        for (var entry : entries.tailMap(from).entrySet()) {
            byte[] data = entry.getValue().data();
            bytes += data.length;
            if (items.size() == max || (bytes > MAX_BATCH_BYTES && !items.isEmpty())) {
                break;
            }
            items.add(new Item(entry.getKey(), data));
        }
        return new Batch(entries.isEmpty() ? next : entries.firstKey(), next, items);
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

    /** The answer to a read; Jackson writes the data as base64. */
    record Batch(long first, long next, List<Item> records) {}

    /** One record. */
    record Item(long offset, byte[] data) {}
}
