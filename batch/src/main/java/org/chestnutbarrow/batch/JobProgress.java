package org.chestnutbarrow.batch;

import java.time.Instant;
import java.util.List;
import org.chestnutbarrow.model.JobId;

/**
 * Durable state of one job. It is stored before any order that it describes is sent.
 *
 * @param id the job
 * @param state where it stands
 * @param changed when the state changed last
 * @param steps the tasks of each step; empty once the state is final
 */
public record JobProgress(JobId id, JobState state, Instant changed, List<List<TaskRecord>> steps) {
    public JobProgress {
        steps = List.copyOf(steps);
    }
}
