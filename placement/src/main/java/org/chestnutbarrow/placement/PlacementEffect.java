package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;

/** What {@link JobShards} wants done. May be carried out in any order and more than once. Immutable. */
public sealed interface PlacementEffect {
    /**
     * Start this attempt on this worker and report the answer; a repetition names the same attempt and worker.
     *
     * @param why the reason for the choice of worker, for the log line
     */
    record Start(
            WorkerId worker,
            TaskId task,
            String workClass,
            int shard,
            Attempt attempt,
            Resources demand,
            Duration runTime,
            Optional<CheckpointId> resumeFrom,
            String why)
            implements PlacementEffect {}

    /** End this attempt without a checkpoint. */
    record Stop(WorkerId worker, TaskId task, Attempt attempt) implements PlacementEffect {}

    /** Let this attempt write a checkpoint and end. */
    record Checkpoint(WorkerId worker, TaskId task, Attempt attempt) implements PlacementEffect {}

    /** Let the worker drop this ended attempt; its end stands in the log. */
    record Forget(WorkerId worker, TaskId task, Attempt attempt) implements PlacementEffect {}

    /** Append this end to the log in the next batch of the shard. */
    record AppendEnd(int shard, long epoch, TaskEnd end) implements PlacementEffect {}

    /** The job cannot be placed as things stand, or (empty reason) can be placed again. */
    record Unplaceable(JobId job, String reason) implements PlacementEffect {}
}
