package org.chestnutbarrow.batch;

import java.time.Instant;
import java.util.Optional;
import org.chestnutbarrow.model.WorkerId;

/**
 * Persistent state of one task.
 *
 * @param done whether a run has finished
 * @param run number of the latest run; 0 before the first
 * @param failures number of failed runs
 * @param checkpoint where the next run resumes; empty to start from the beginning
 * @param placedOn where the latest run was placed, until its end is recorded
 * @param waitingSince since when the task has waited for its next run; empty if it does not wait, if it has waited since
 *     its job was submitted, or if this is not known
 */
public record TaskRecord(
        boolean done,
        int run,
        int failures,
        String checkpoint,
        Optional<WorkerIncarnation> placedOn,
        Optional<Instant> waitingSince) {
    /** The state of a task that has not been started. */
    public static final TaskRecord NEW = new TaskRecord(false, 0, 0, "", Optional.empty());

    /** Creates the state of a task without the time since when it has waited. */
    public TaskRecord(boolean done, int run, int failures, String checkpoint, Optional<WorkerIncarnation> placedOn) {
        this(done, run, failures, checkpoint, placedOn, Optional.empty());
    }

    /** Returns this state with the time since when the task has waited. */
    public TaskRecord withWaitingSince(Optional<Instant> since) {
        return new TaskRecord(done, run, failures, checkpoint, placedOn, since);
    }

    /**
     * One incarnation of a worker: the lifetime of one worker process.
     *
     * @param worker the worker
     * @param incarnation start time of the worker process, in ms since the epoch on the worker's clock
     */
    public record WorkerIncarnation(WorkerId worker, long incarnation) {}
}
