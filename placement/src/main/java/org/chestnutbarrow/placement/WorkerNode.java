package org.chestnutbarrow.placement;

import java.util.HashSet;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.Worker;

/** What is known of one worker. Not safe for use by several threads; guarded by the lock of {@link WorkerIndex}. */
final class WorkerNode {
    /** Failures of tasks of that many jobs, with no success between them, quarantine a worker. */
    private static final int BAD_AFTER_JOBS = 3;

    final int leaf;
    Worker worker;
    boolean held = true;
    long unheldSince;
    boolean lapsed;
    private Resources reported = Resources.NONE;
    private Resources starting = Resources.NONE;
    private Resources started = Resources.NONE;
    private final Set<JobId> failed = new HashSet<>();
    private int strikes;
    private long closedUntil;

    WorkerNode(Worker worker, int leaf) {
        this.worker = worker;
        this.leaf = leaf;
    }

    /** Takes a report of what is free. Starts that were confirmed before it are part of it. */
    void report(Worker newer, Resources free) {
        worker = newer;
        reported = free;
        started = Resources.NONE;
        held = true;
        lapsed = false;
    }

    /** What is free less what has been sent there since. */
    Resources free() {
        return reported.minus(starting).minus(started);
    }

    void reserve(Resources demand) {
        starting = starting.plus(demand);
    }

    /** Ends a reservation; a confirmed start still counts until the next report. */
    void settle(Resources demand, boolean confirmed) {
        starting = starting.minus(demand);
        if (confirmed) {
            started = started.plus(demand);
        }
    }

    /** Offers nothing until the next report, because the report that there was room has proved wrong. */
    void full() {
        started = reported;
    }

    boolean quarantined() {
        return strikes > 0;
    }

    /** Whether quarantine or an unfinished probe bars starts now. */
    boolean barred(long now) {
        return quarantined() && closedUntil - now > 0;
    }

    /** Counts a start as the probe of a quarantined worker. */
    void probe(long now) {
        if (quarantined()) {
            closedUntil = now + Timing.PROBE_TIME;
        }
    }

    void failed(JobId job, long now) {
        failed.add(job);
        if (quarantined() || failed.size() >= BAD_AFTER_JOBS) {
            strikes++;
            failed.clear();
            closedUntil = now + Timing.backOff(Timing.QUARANTINE, strikes);
        }
    }

    void succeeded() {
        strikes = 0;
        failed.clear();
    }

    void absolve(JobId job) {
        failed.remove(job);
    }
}
