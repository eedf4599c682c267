package org.chestnutbarrow.batch;

import java.time.Duration;
import org.chestnutbarrow.model.WorkerId;

/**
 * A run that was ordered and of which it is not certain yet whether an order to start it is in flight. Immutable.
 *
 * @param age time since the run was placed
 */
public record UnsettledStart(TaskName task, int run, WorkerId worker, Duration age) {
    /** Returns whether this is the same run as {@code other}. */
    public boolean isSameRun(UnsettledStart other) {
        return task.equals(other.task) && run == other.run;
    }
}
