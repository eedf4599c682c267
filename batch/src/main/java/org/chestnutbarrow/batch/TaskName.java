package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.JobId;

/**
 * Names one task.
 *
 * @param job its job
 * @param step number of the step, from 0
 * @param index number within the step, from 0
 */
public record TaskName(JobId job, int step, int index) {}
