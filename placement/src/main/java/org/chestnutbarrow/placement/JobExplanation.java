package org.chestnutbarrow.placement;

import java.util.List;
import org.chestnutbarrow.model.JobId;

/**
 * Why a job is where it is. Immutable.
 *
 * @param state one of waiting, running, held, unplaceable, cancelled or fencing, with the reason
 * @param waiting ranges of the tasks that wait, such as {@code 3-17}
 * @param tasks one line for each task with an attempt
 * @param decisions last decisions, oldest first
 */
public record JobExplanation(JobId job, String state, String waiting, List<String> tasks, List<String> decisions) {
    public JobExplanation {
        tasks = List.copyOf(tasks);
        decisions = List.copyOf(decisions);
    }
}
