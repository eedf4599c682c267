package org.chestnutbarrow.placement;

import java.util.List;
import org.chestnutbarrow.model.JobId;

/**
 * The state of a job and the reasons for it, for operators. Immutable.
 *
 * @param state one of waiting, running, held, unplaceable, cancelled or fencing, followed by the reason if there is one
 * @param waiting index ranges of the waiting tasks, such as {@code 3-17}
 * @param tasks one line for each task that has had an attempt
 * @param decisions most recent decisions, oldest first
 */
public record JobExplanation(JobId job, String state, String waiting, List<String> tasks, List<String> decisions) {
    public JobExplanation {
        tasks = List.copyOf(tasks);
        decisions = List.copyOf(decisions);
    }
}
