package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.TimeSource;

/** An owner without a store. It does not extend leases unless a test sets {@code extending}. */
final class DisconnectedOwner implements Owner {
    private static final int MAX_RECORD_BYTES = StateStore.Limits.DEFAULT.recordBytes();

    volatile boolean active = true;
    volatile boolean extending;
    volatile boolean relayed;
    volatile boolean mayStart = true;
    volatile Duration lateness = Duration.ZERO;
    final List<Duration> startWaits = new CopyOnWriteArrayList<>();
    final Semaphore firstContacts = new Semaphore(2);
    /** Number of times that a link asked whether it may extend leases. */
    final AtomicInteger extensions = new AtomicInteger();

    final LeaseTracker leases;

    DisconnectedOwner(TimeSource time) {
        this(time, Duration.ofSeconds(6));
    }

    DisconnectedOwner(TimeSource time, Duration maxLease) {
        leases = new LeaseTracker(time, Duration.ofSeconds(7), maxLease, MAX_RECORD_BYTES);
    }

    @Override
    public long token() {
        return 2;
    }

    @Override
    public boolean extendLeases(TaskRecord.WorkerIncarnation incarnation, long until) {
        extensions.incrementAndGet();
        return extending && leases.extend(incarnation, until);
    }

    @Override
    public void runEnded(WorkerReport.EndKind how) {}

    @Override
    public void recordOrderWait(Duration time) {}

    @Override
    public void recordStartWait(Duration wait) {
        startWaits.add(wait);
    }

    @Override
    public void recordHoldDelay(Duration time) {}

    @Override
    public Duration holdWait() {
        return Duration.ofMillis(500);
    }

    @Override
    public boolean mayStart() {
        return mayStart;
    }

    @Override
    public boolean callsRelayed() {
        return relayed;
    }

    @Override
    public Semaphore firstContacts() {
        return firstContacts;
    }

    @Override
    public Duration threadDelay() {
        return lateness;
    }

    @Override
    public void workerAnswered(TaskRecord.WorkerIncarnation incarnation, long extendedUntil) {
        leases.answered(incarnation, extendedUntil);
    }

    @Override
    public void workerReplaced(TaskRecord.WorkerIncarnation incarnation, long until) {
        leases.raise(incarnation, until);
    }

    @Override
    public void workerUnreachable(TaskRecord.WorkerIncarnation incarnation) {
        leases.unreachable(incarnation);
    }

    @Override
    public boolean active() {
        return active;
    }

    @Override
    public void fenced(String by) {}

    @Override
    public void wake() {}
}
