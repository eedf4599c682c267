package org.chestnutbarrow.placement;

import java.util.HashSet;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/**
 * The scheduling state of a worker. Not safe for use by several threads; guarded by the lock of {@link WorkerIndex}.
 */
final class WorkerEntry {
    /**
     * Number of distinct jobs with a failed task, without a success in between, after which a worker is quarantined.
     */
    private static final int QUARANTINE_AFTER_JOBS = 3;

    final int leaf;
    Worker worker;
    boolean held = true;
    long unheldSince;
    boolean leasesExpired;
    private Resources reportedFree = Resources.NONE;
    private Resources reserved = Resources.NONE;
    private Resources startedSinceReport = Resources.NONE;
    private final Set<JobId> failedJobs = new HashSet<>();
    private int quarantineCount;
    private long blockedUntil;

    WorkerEntry(Worker worker, int leaf) {
        this.worker = worker;
        this.leaf = leaf;
    }

    /** Records a report of the free capacity, which already accounts for starts that were confirmed before it. */
    void report(Worker newWorker, Resources free) {
        worker = newWorker;
        reportedFree = free;
        startedSinceReport = Resources.NONE;
        held = true;
        leasesExpired = false;
    }

    /** Returns the reported free capacity minus reservations and the starts confirmed since the report. */
    Resources free() {
        return reportedFree.minus(reserved).minus(startedSinceReport);
    }

    void reserve(Resources demand) {
        reserved = reserved.plus(demand);
    }

    /** Ends a reservation; a confirmed start is still subtracted until the next report. */
    void settleReservation(Resources demand, boolean confirmed) {
        reserved = reserved.minus(demand);
        if (confirmed) {
            startedSinceReport = startedSinceReport.plus(demand);
        }
    }

    /**
     * Treats the worker as full until the next report, because a refused start showed that the last one is outdated.
     */
    void markFull() {
        startedSinceReport = reportedFree;
    }

    boolean quarantined() {
        return quarantineCount > 0;
    }

    /** Whether a quarantine or an unfinished probe blocks starts at this time. */
    boolean blocked(long now) {
        return quarantined() && blockedUntil - now > 0;
    }

    /** Treats a start on a quarantined worker as its probe and blocks further starts until the probe ends. */
    void startProbe(long now) {
        if (quarantined()) {
            blockedUntil = now + Timing.PROBE_TIMEOUT_NANOS;
        }
    }

    void recordFailure(JobId job, long now) {
        failedJobs.add(job);
        if (quarantined() || failedJobs.size() >= QUARANTINE_AFTER_JOBS) {
            quarantineCount++;
            failedJobs.clear();
            blockedUntil = now + Timing.exponentialBackoff(Timing.FIRST_QUARANTINE_NANOS, quarantineCount);
        }
    }

    void recordSuccess() {
        quarantineCount = 0;
        failedJobs.clear();
    }

    void clearFailure(JobId job) {
        failedJobs.remove(job);
    }
}
