package org.chestnutbarrow.batch;

import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.JobId;

/**
 * Persistent state of one job. It is stored before any order that depends on it is sent.
 *
 * @param id the job
 * @param state state of the job
 * @param changedAt time of the latest state change
 * @param steps the tasks of each step; empty once the job has ended and no run of it is left
 */
public record JobProgress(JobId id, JobState state, Instant changedAt, List<List<TaskRecord>> steps) {
    public JobProgress {
        steps = List.copyOf(steps);
    }
}
