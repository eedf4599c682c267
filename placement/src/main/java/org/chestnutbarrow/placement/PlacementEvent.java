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

/** What {@link JobShards} is told. Times are monotonic nanoseconds. Immutable. */
public sealed interface PlacementEvent {
    /** This daemon's claim of the shard stands in the log; {@code jobs} is the log's state at or after the claim. */
    record ShardGained(int shard, long epoch, List<LoggedJob> jobs) implements PlacementEvent {
        public ShardGained {
            jobs = List.copyOf(jobs);
        }
    }

    /** This daemon no longer owns the shard. */
    record ShardLost(int shard) implements PlacementEvent {}

    /**
     * All attempts of the shard at a worker, as fencing found them.
     *
     * @param asked when the fence command was sent; a confirmed attempt from before then that is not listed is gone
     */
    record AttemptsFound(int shard, long epoch, WorkerId worker, long asked, List<TaskStatus> tasks)
            implements PlacementEvent {
        public AttemptsFound {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Attempts may be issued from {@code startsFrom} on: the present if all workers are fenced, otherwise the time by
     * which every lease at a worker that could not be fenced must have lapsed.
     */
    record WorkersFenced(int shard, long epoch, long startsFrom) implements PlacementEvent {}

    /** A job was accepted. */
    record JobAdded(LoggedJob job) implements PlacementEvent {}

    /** A job was cancelled. */
    record JobCancelled(JobId job) implements PlacementEvent {}

    /** The holder of a worker reports the state of an attempt. */
    record TaskChanged(WorkerId worker, TaskStatus status) implements PlacementEvent {}

    /**
     * A start command was answered, or a stop was refused because the worker does not know the attempt.
     *
     * @param asked when the answered command was sent
     */
    record StartAnswered(WorkerId worker, TaskId task, Attempt attempt, long asked, StartAnswer answer)
            implements PlacementEvent {}

    /** These ends now stand in the log. */
    record EndsLogged(int shard, List<TaskEnd> ends) implements PlacementEvent {
        public EndsLogged {
            ends = List.copyOf(ends);
        }
    }

    /** A configuration came into force: zones taken out or in, quotas. */
    record ConfigurationChanged(Configuration configuration) implements PlacementEvent {}

    /**
     * All workers that a live daemon holds the lease of, with what is free there. To be sent several times a second:
     * attempts at other workers lapse by {@link LapseRule}, for which a gap of more than 0.5 s is a loss of contact.
     *
     * @param contact how well this daemon hears the others now
     */
    record WorkersChanged(List<WorkerRoom> workers, Contact contact) implements PlacementEvent {
        public WorkersChanged {
            workers = List.copyOf(workers);
        }
    }

    /** What tasks of other daemons' shards use, by team. */
    record UseElsewhere(Map<String, Resources> use) implements PlacementEvent {
        public UseElsewhere {
            use = Map.copyOf(use);
        }
    }

    /** Time has passed: places waiting tasks and repeats what has not been answered. */
    record Tick() implements PlacementEvent {}

    /** What is free on a held worker. */
    record WorkerRoom(Worker worker, Resources free) {}

    /** What became of a start command. */
    sealed interface StartAnswer {
        /** The worker has the attempt in this state. */
        record Done(TaskStatus status) implements StartAnswer {}

        /** The worker does not have the attempt, and no earlier command for it can still take effect. */
        record Refused(String reason) implements StartAnswer {}

        /** The daemon that was asked does not hold the worker; that command did nothing. */
        record NotHolder() implements StartAnswer {}

        /** The attempt may have started. */
        record Unknown(String reason) implements StartAnswer {}
    }
}
