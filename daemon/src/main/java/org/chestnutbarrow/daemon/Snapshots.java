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
 * Appends a snapshot when half of the log's retention time has gone since the last one was seen. Safe for use by several
 * threads. Jitter keeps the daemons from writing together; two snapshots are harmless.
 */
final class Snapshots implements AppliedListener, AutoCloseable {
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
    private long due;
    private boolean closed;

    /**
     * Creates the writer of snapshots, which starts with {@link #start}.
     *
     * @param retention how long the log keeps a record
     * @param caughtUp whether the log has been read to its end; the age of snapshots seen before is unknown
     */
    Snapshots(
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
        // The age of a snapshot read at the start is unknown: a quarter keeps it within the retention time.
        this.due = time.nanos() + jittered(retention.dividedBy(4));
        this.thread = Thread.ofPlatform().name("snapshots").daemon().unstarted(this::run);
    }

    void start() {
        thread.start();
    }

    /** The delay lengthened by up to a quarter. */
    private long jittered(Duration delay) {
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

    /** Waits until a snapshot is due; returns false once closed. */
    private boolean awaitDue() {
        lock.lock();
        try {
            while (!closed && due - time.nanos() > 0) {
                long _ = changed.awaitNanos(due - time.nanos());
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
            due = time.nanos() + nanos;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void onApplied(List<AppliedRecord> applied) {
        if (caughtUp.getAsBoolean()
                && applied.stream().anyMatch(record -> record.result() instanceof ApplyResult.SnapshotRecorded)) {
            postpone(jittered(retention.dividedBy(2)));
        }
    }

    @Override
    public void onRestored(long position) {}

    /** Ends the thread. */
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
