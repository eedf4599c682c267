package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.format.LogRecords;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.TimeSource;

/** The catalog, follower and writer of one daemon on a fake log. */
final class LogNode implements AutoCloseable, LogReadListener, AppliedListener {
    final Catalog catalog = new Catalog();
    final LogRecords records = new LogRecords();
    final List<AppliedRecord> applied = Collections.synchronizedList(new ArrayList<>());
    final AtomicLong lastPositionRead = new AtomicLong(-2);
    final AtomicInteger readFailures = new AtomicInteger();
    final AtomicReference<LogRecord.Snapshot> peerSnapshot = new AtomicReference<>();
    final LogWriter writer;
    final LogFollower follower;

    LogNode(FakeLog log, String id) {
        this(log, id, Duration.ofSeconds(30));
    }

    LogNode(FakeLog log, String id, Duration timeout) {
        writer = new LogWriter(log, records, new DaemonId(id), 1, this::reachable, timeout);
        follower = new LogFollower(
                log,
                catalog,
                records,
                TimeSource.SYSTEM,
                () -> Optional.ofNullable(peerSnapshot.get()),
                () -> peerSnapshot.get() != null,
                this,
                List.of(writer, this),
                new Random(1));
    }

    /** Starts the follower and waits until it has read the log to its end. */
    LogNode started() throws InterruptedException {
        follower.start();
        FakeLog.await(() -> lastPositionRead.get() >= -1);
        return this;
    }

    private boolean reachable() {
        return follower.reachable();
    }

    @Override
    public void readToEnd(long sentNanos, long position) {
        lastPositionRead.set(position);
    }

    @Override
    public void readFailed(String reason) {
        readFailures.incrementAndGet();
    }

    @Override
    public void onApplied(List<AppliedRecord> records) {
        applied.addAll(records);
    }

    @Override
    public void onRestored(long position) {}

    @Override
    public void close() {
        follower.close();
    }
}
