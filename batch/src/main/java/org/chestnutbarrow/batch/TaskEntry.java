package org.chestnutbarrow.batch;

import java.util.Optional;

/** One task in memory. Guarded by the lock of its {@link Cell}. */
final class TaskEntry {
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
    long progressedAt;
    int pace = 100;

    TaskEntry(JobEntry job, TaskName name, Step step) {
        this.job = job;
        this.name = name;
        this.step = step;
    }

    boolean waiting() {
        return !done && on == null;
    }

    /** Takes the task off its worker. */
    void release() {
        if (on != null) {
            on.remove(this);
            on = null;
        }
        stopping = false;
        seen = false;
        inherited = false;
        settledAt = 0;
        pace = 100;
        percent = 0;
        load = 0;
    }

    /** The reported tail as a part of its target. */
    double tailRatio() {
        return (double) load / step.service().targetMs();
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
