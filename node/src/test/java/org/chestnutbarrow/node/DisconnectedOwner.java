package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.batch.WorkerReport;

/** An owner without a store. It does not extend leases unless a test sets {@code extending}. */
final class DisconnectedOwner implements Owner {
    volatile boolean active = true;
    volatile boolean extending;
    volatile boolean relayed;
    volatile boolean mayStart = true;
    volatile Duration lateness = Duration.ZERO;
    final List<Duration> startWaits = new CopyOnWriteArrayList<>();
    final Semaphore firstContacts = new Semaphore(2);

    @Override
    public long token() {
        return 2;
    }

    @Override
    public boolean mayExtendLeases(TaskRecord.WorkerIncarnation incarnation) {
        return extending;
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
    public void workerAnswered(TaskRecord.WorkerIncarnation incarnation) {}

    @Override
    public boolean active() {
        return active;
    }

    @Override
    public void fenced(String by) {}

    @Override
    public void wake() {}
}
