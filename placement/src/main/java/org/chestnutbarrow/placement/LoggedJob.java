package org.chestnutbarrow.placement;

import java.util.BitSet;
import java.util.List;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.LogRecord.TaskEnd;

/**
 * A job as the log shows it. Immutable.
 *
 * @param cancelled whether it was cancelled
 * @param finished indexes of the tasks that finished
 * @param ends newest logged end of each task that ended without finishing
 */
public record LoggedJob(Job job, boolean cancelled, BitSet finished, List<TaskEnd> ends) {
    public LoggedJob {
        finished = (BitSet) finished.clone();
        ends = List.copyOf(ends);
    }

    /** A job of which no task has ended. */
    public static LoggedJob fresh(Job job) {
        return new LoggedJob(job, false, new BitSet(), List.of());
    }

    @Override
    public BitSet finished() {
        return (BitSet) finished.clone();
    }
}
