package org.chestnutbarrow.placement;

import java.util.BitSet;
import java.util.List;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.LogRecord.TaskEnd;

/**
 * A job's state as recorded in the log. Immutable.
 *
 * @param cancelled whether the job was cancelled
 * @param finished indexes of the finished tasks
 * @param ends newest logged end of each unfinished task with an ended attempt
 */
public record LoggedJob(Job job, boolean cancelled, BitSet finished, List<TaskEnd> ends) {
    public LoggedJob {
        finished = (BitSet) finished.clone();
        ends = List.copyOf(ends);
    }

    /** Creates the state of a newly accepted job, none of whose tasks has ended. */
    public static LoggedJob newlyAccepted(Job job) {
        return new LoggedJob(job, false, new BitSet(), List.of());
    }

    @Override
    public BitSet finished() {
        return (BitSet) finished.clone();
    }
}
