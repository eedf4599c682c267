package org.chestnutbarrow.placement;

import java.util.List;
import java.util.Map;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/** An input of {@link JobShards}. Times are monotonic nanoseconds. Immutable. */
public sealed interface PlacementEvent {
    /** This daemon's claim of the shard is in the log; {@code jobs} is the log's state at or after the claim. */
    record ShardGained(int shard, long epoch, List<LoggedJob> jobs) implements PlacementEvent {
        public ShardGained {
            jobs = List.copyOf(jobs);
        }
    }

    /** This daemon no longer owns the shard. */
    record ShardLost(int shard) implements PlacementEvent {}

    /**
     * The complete list of the shard's attempts at a worker, returned by a fence command.
     *
     * @param requestedAt when the fence command was sent; an attempt that was confirmed before and is not listed no
     *     longer exists
     */
    record AttemptsListed(int shard, long epoch, WorkerId worker, long requestedAt, List<TaskStatus> tasks)
            implements PlacementEvent {
        public AttemptsListed {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Attempts may be issued from {@code earliestStart} on: the current time if all workers are fenced, otherwise the
     * time by which every task lease at a worker that could not be fenced must have expired.
     */
    record WorkersFenced(int shard, long epoch, long earliestStart) implements PlacementEvent {}

    /** A job was accepted. */
    record JobAdded(LoggedJob job) implements PlacementEvent {}

    /** A job was cancelled. */
    record JobCancelled(JobId job) implements PlacementEvent {}

    /** The daemon that holds a worker's lease reports the state of an attempt. */
    record TaskReported(WorkerId worker, TaskStatus status) implements PlacementEvent {}

    /**
     * A start command has a result, or a stop was refused because the worker does not know the attempt.
     *
     * @param requestedAt when the command was sent
     */
    record StartReported(WorkerId worker, TaskId task, Attempt attempt, long requestedAt, StartResult result)
            implements PlacementEvent {}

    /** The ends of these attempts are now in the log. */
    record EndsLogged(int shard, List<TaskEnd> ends) implements PlacementEvent {
        public EndsLogged {
            ends = List.copyOf(ends);
        }
    }

    /** A configuration came into force; zones or quotas may have changed. */
    record ConfigurationChanged(Configuration configuration) implements PlacementEvent {}

    /**
     * The complete list of workers whose lease is held by a live daemon, with their free capacity. Must be sent several
     * times a second: the leases of attempts at other workers expire by {@link LeaseExpiryRule}, which treats a gap of
     * more than 0.5 s as a loss of connectivity.
     *
     * @param connectivity current connectivity of this daemon to the others
     */
    record WorkersChanged(List<WorkerFreeCapacity> workers, Connectivity connectivity) implements PlacementEvent {
        public WorkersChanged {
            workers = List.copyOf(workers);
        }
    }

    /** The resources used by the tasks of other daemons' shards, by team. */
    record RemoteUsageReported(Map<String, Resources> usageByTeam) implements PlacementEvent {
        public RemoteUsageReported {
            usageByTeam = Map.copyOf(usageByTeam);
        }
    }

    /** Periodic event that places waiting tasks and repeats commands without a result. */
    record Tick() implements PlacementEvent {}

    /** The free capacity of a worker whose lease is held. */
    record WorkerFreeCapacity(Worker worker, Resources free) {}

    /** The result of a start command. */
    sealed interface StartResult {
        /** The worker has the attempt, in the given state. */
        record Done(TaskStatus status) implements StartResult {}

        /** The worker does not have the attempt, and no earlier command for it can still take effect. */
        record Refused(String reason) implements StartResult {}

        /** The daemon that received the command does not hold the worker's lease; the command had no effect. */
        record NotHolder() implements StartResult {}

        /** The attempt may have started. */
        record Unknown(String reason) implements StartResult {}
    }
}
