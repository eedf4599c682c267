package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.JobId;

/**
 * Identifies one task.
 *
 * @param job job of the task
 * @param step index of its step, from 0
 * @param index index of the task within the step, from 0
 */
public record TaskName(JobId job, int step, int index) {}
