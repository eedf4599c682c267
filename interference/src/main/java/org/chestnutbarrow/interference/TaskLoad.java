package org.chestnutbarrow.interference;

import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.TaskId;

/**
 * The resource usage of a running task at the time of a report.
 *
 * @param preemptible whether the task may be throttled and evicted; false for always-on tasks
 * @param milliCores processor time used, in thousandths of a core
 * @param memoryMiB memory used, in mebibytes
 * @param progress completed fraction of the work, from 0 to 1
 */
public record TaskLoad(
        TaskId task,
        Attempt attempt,
        String workClass,
        boolean preemptible,
        int milliCores,
        long memoryMiB,
        double progress) {
    public TaskLoad {
        Checks.require(milliCores >= 0 && memoryMiB >= 0, "usage must not be negative");
        Checks.require(progress >= 0 && progress <= 1, "progress must be between 0 and 1");
    }
}
