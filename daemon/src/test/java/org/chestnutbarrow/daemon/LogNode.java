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

/** Catalog, follower and writer of one daemon on a fake log. */
final class LogNode implements AutoCloseable, ReadReport, AppliedListener {
    final Catalog catalog = new Catalog();
    final LogRecords records = new LogRecords();
    final List<AppliedRecord> seen = Collections.synchronizedList(new ArrayList<>());
    final AtomicLong endSeen = new AtomicLong(-2);
    final AtomicInteger failures = new AtomicInteger();
    final AtomicReference<LogRecord.Snapshot> peer = new AtomicReference<>();
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
                () -> Optional.ofNullable(peer.get()),
                () -> peer.get() != null,
                this,
                List.of(writer, this),
                new Random(1));
    }

    /** Starts to follow and waits until the log was read to its end. */
    LogNode started() throws InterruptedException {
        follower.start();
        FakeLog.await(() -> endSeen.get() >= -1);
        return this;
    }

    private boolean reachable() {
        return follower.reachable();
    }

    @Override
    public void readToEnd(long sentNanos, long position) {
        endSeen.set(position);
    }

    @Override
    public void readFailed(String reason) {
        failures.incrementAndGet();
    }

    @Override
    public void onApplied(List<AppliedRecord> records) {
        seen.addAll(records);
    }

    @Override
    public void onRestored(long position) {}

    @Override
    public void close() {
        follower.close();
    }
}
