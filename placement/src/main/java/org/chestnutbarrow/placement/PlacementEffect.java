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

/** An action requested by {@link JobShards}. Effects may be executed in any order and more than once. Immutable. */
public sealed interface PlacementEffect {
    /**
     * Starts an attempt on a worker; the result must be reported. A repetition names the same attempt and worker.
     *
     * @param reason why this worker was selected, for the log
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
            String reason)
            implements PlacementEffect {}

    /** Stops an attempt without a checkpoint. */
    record Stop(WorkerId worker, TaskId task, Attempt attempt) implements PlacementEffect {}

    /** Makes an attempt write a checkpoint and end. */
    record Checkpoint(WorkerId worker, TaskId task, Attempt attempt) implements PlacementEffect {}

    /** Allows the worker to drop the state of an ended attempt, whose end is in the log. */
    record Forget(WorkerId worker, TaskId task, Attempt attempt) implements PlacementEffect {}

    /** Appends the end of an attempt to the log in the shard's next batch. */
    record AppendEnd(int shard, long epoch, TaskEnd end) implements PlacementEffect {}

    /** The job cannot be placed with the current workers and quotas or, if the reason is empty, can be placed again. */
    record Unplaceable(JobId job, String reason) implements PlacementEffect {}
}
