package org.chestnutbarrow.interference;

import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.TaskId;

/**
 * What a running task used at the time of a report.
 *
 * @param movable whether the task may be throttled and evicted; false for always-on tasks
 * @param milliCores processor time used, in thousandths of a core
 * @param memoryMiB memory used, in mebibytes
 * @param progress share of the work done, from 0 to 1
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
        Checks.require(milliCores >= 0 && memoryMiB >= 0, "use must not be negative");
        Checks.require(progress >= 0 && progress <= 1, "progress must be from 0 to 1");
    }
}
