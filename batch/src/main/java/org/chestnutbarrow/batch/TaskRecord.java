package org.chestnutbarrow.batch;

import java.util.Optional;
import org.chestnutbarrow.model.WorkerId;

/**
 * Durable state of one task.
 *
 * @param done whether a run finished
 * @param run number of the latest run; 0 before the first
 * @param failures runs that ended as failed
 * @param checkpoint where the next run resumes; empty for the beginning
 * @param at where the latest run was placed, until its end is recorded
 */
public record TaskRecord(boolean done, int run, int failures, String checkpoint, Optional<Location> at) {
    /** A task that has not been started. */
    public static final TaskRecord NEW = new TaskRecord(false, 0, 0, "", Optional.empty());

    /**
     * One life of a worker.
     *
     * @param worker the worker
     * @param born start of this life, ms since 1970 on the worker's clock
     */
    public record Location(WorkerId worker, long born) {}
}
