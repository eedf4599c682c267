package org.chestnutbarrow.batch;

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
 */
public record TaskRecord(boolean done, int run, int failures, String checkpoint, Optional<WorkerIncarnation> placedOn) {
    /** The state of a task that has not been started. */
    public static final TaskRecord NEW = new TaskRecord(false, 0, 0, "", Optional.empty());

    /**
     * One incarnation of a worker: the lifetime of one worker process.
     *
     * @param worker the worker
     * @param incarnation start time of the worker process, in ms since the epoch on the worker's clock
     */
    public record WorkerIncarnation(WorkerId worker, long incarnation) {}
}
