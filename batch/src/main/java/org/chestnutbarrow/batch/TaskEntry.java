package org.chestnutbarrow.batch;

import java.util.Optional;

/** One task in memory. Guarded by the lock of its {@link Cell}. */
final class TaskEntry {
    private static final int FULL = 100;

    final JobEntry job;
    final TaskName name;
    final Step step;
    boolean done;
    int run;
    int failures;
    String checkpoint = "";
    /** Where the latest run is charged, or null while the task waits. */
    WorkerNode on;

    /** Whether a stop of the latest run was ordered. */
    boolean stopping;
    /** Whether the worker has confirmed or listed the latest run. */
    boolean seen;
    /** Whether the run was ordered by an earlier owner and the worker has not been asked yet. */
    boolean inherited;

    /** When it became certain that no order to start the run is on its way, ns; 0 while one may be. */
    long settledAt;

    int percent;
    int load;
    /** Headroom of the latest run if it serves users. */
    Calm calm = new Calm();

    long progressedAt;
    /** Since when the reported tail is above its target, ns; 0 while it is not. */
    long overSince;
    /** Share of its processor time that the latest run may use, in percent. */
    int pace = FULL;

    TaskEntry(JobEntry job, TaskName name, Step step) {
        this.job = job;
        this.name = name;
        this.step = step;
    }

    /** Charges a worker for the task. */
    void chargeTo(WorkerNode node) {
        if (on == null) {
            job.placed(this);
        }
        on = node;
    }

    /** Takes the task off its worker. */
    void release() {
        if (on != null) {
            on.remove(this);
            on = null;
            job.released(this);
        }
        stopping = false;
        seen = false;
        inherited = false;
        settledAt = 0;
        pace = FULL;
        percent = 0;
        load = 0;
        overSince = 0;
        calm = new Calm();
    }

    /** Whether the task has users of its own, with a target for the tail of their latency. */
    boolean serves() {
        return step.service().targetMs() > 0;
    }

    /** Processor time that the task may use at its pace, in thousandths of a core. */
    long demandedMilliCores() {
        return (long) step.demand().milliCores() * pace / FULL;
    }

    /** The target as a multiple of the reported tail. */
    double headroom() {
        return (double) step.service().targetMs() / load;
    }

    TaskRecord toRecord() {
        return new TaskRecord(
                done,
                run,
                failures,
                checkpoint,
                on == null ? Optional.empty() : Optional.of(new TaskRecord.Location(on.id(), on.born())));
    }
}
