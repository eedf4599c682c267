package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.catalog.ApplyResult;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Appends a snapshot to the log when half of the log's retention time has passed since the last one was read. Safe for
 * use by several threads. Jitter keeps the daemons from writing at the same time; duplicate snapshots are harmless.
 */
final class SnapshotWriter implements AppliedListener, AutoCloseable {
    private final Catalog catalog;
    private final LogRecords records;
    private final LogWriter writer;
    private final TimeSource time;
    private final Duration retention;
    private final BooleanSupplier caughtUp;
    private final RandomGenerator random;
    private final Backoff backoff;
    private final Thread thread;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private long dueAt;
    private boolean closed;

    /**
     * Creates a writer that starts with {@link #start}.
     *
     * @param retention how long the log keeps a record
     * @param caughtUp whether the log has been read to its end; the age of snapshots read before is unknown
     */
    SnapshotWriter(
            Catalog catalog,
            LogRecords records,
            LogWriter writer,
            TimeSource time,
            Duration retention,
            BooleanSupplier caughtUp,
            RandomGenerator random) {
        this.catalog = catalog;
        this.records = records;
        this.writer = writer;
        this.time = time;
        this.retention = retention;
        this.caughtUp = caughtUp;
        this.random = random;
        this.backoff = new Backoff(retention.dividedBy(64), retention.dividedBy(16), random);
        // The age of a snapshot read at the start is unknown; with a quarter of the retention time as the first delay,
        // the next snapshot is written before that one expires.
        this.dueAt = time.nanos() + withJitter(retention.dividedBy(4));
        this.thread = Thread.ofPlatform().name("snapshots").daemon().unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** Returns the delay in nanoseconds, extended at random by up to a quarter. */
    private long withJitter(Duration delay) {
        long nanos = delay.toNanos();
        return nanos + random.nextLong(nanos / 4 + 1);
    }

    private void run() {
        while (awaitDue()) {
            try {
                AppliedRecord written = writer.write(records.snapshot(catalog.snapshot()));
                backoff.reset();
                Events.info("snapshot-written", "offset", written.offset());
            } catch (NotRunException | OutcomeUnknownException | RuntimeException e) {
                Events.warn("snapshot-failed", "reason", e.getMessage());
                postpone(backoff.nextDelay().toNanos());
            }
        }
    }

    /** Waits until a snapshot is due; returns false if closed. */
    private boolean awaitDue() {
        lock.lock();
        try {
            while (!closed && dueAt - time.nanos() > 0) {
                long _ = changed.awaitNanos(dueAt - time.nanos());
            }
            return !closed;
        } catch (InterruptedException e) {
            return false;
        } finally {
            lock.unlock();
        }
    }

    private void postpone(long nanos) {
        lock.lock();
        try {
            dueAt = time.nanos() + nanos;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void onApplied(List<AppliedRecord> applied) {
        if (caughtUp.getAsBoolean()
                && applied.stream().anyMatch(record -> record.result() instanceof ApplyResult.SnapshotRecorded)) {
            postpone(withJitter(retention.dividedBy(2)));
        }
    }

    @Override
    public void onRestored(long position) {}

    /** Stops the thread. */
    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
        thread.interrupt();
    }
}
