package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.JobId;

/**
 * Identifies one task.
 *
 * @param job job of the task
 * @param step index of its step, from 0
 * @param index index of the task within the step, from 0
 */
public record TaskName(JobId job, int step, int index) {
    public TaskName {
        Checks.require(job != null, "a task name needs a job");
        Checks.require(step >= 0 && index >= 0, "the step and the index of a task must not be negative");
    }
}
