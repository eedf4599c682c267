package org.chestnutbarrow.ports;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.UnavailableException;

/**
 * The commands that a worker takes at its control address. Implementations are safe for use by several threads; calls
 * block.
 *
 * <p>Every command may be repeated: the worker decides by (task, attempt) and answers with the state that holds. All
 * commands but {@link #lease} and {@link #usage} name the epoch of the lease over the worker that they are made under.
 */
public interface WorkerControl {
    /**
     * Takes or renews the lease over the worker, and with it the leases of all its tasks.
     *
     * @param epoch 0 to take it, otherwise the epoch under which it is held
     * @throws RefusedException if another holder has it
     * @throws StaleEpochException if it was taken by another holder since
     * @throws UnavailableException if there was no answer; the lease may or may not have been taken
     */
    Grant lease(Address worker, DaemonId holder, long epoch, Duration ttl)
            throws RefusedException, StaleEpochException, UnavailableException;

    /** Gives the lease back, so that another holder can take it at once. */
    void release(Address worker, DaemonId holder, long epoch) throws StaleEpochException, UnavailableException;

    /**
     * Starts an attempt, or returns its state if the worker has it already.
     *
     * @throws RefusedException if the worker has no room or has seen a newer attempt; it did not start
     * @throws NotRunException if nothing was sent
     * @throws OutcomeUnknownException if it may have started; repeat the same command to learn
     */
    TaskStatus start(Address worker, StartCommand command)
            throws RefusedException, StaleEpochException, NotRunException, OutcomeUnknownException;

    /**
     * Does something to an attempt and returns its state.
     *
     * @throws RefusedException if the worker does not know the attempt
     * @throws UnavailableException if there was no answer; repeat the command to learn
     */
    TaskStatus apply(Address worker, long epoch, TaskId task, Attempt attempt, TaskCommand command)
            throws RefusedException, StaleEpochException, UnavailableException;

    /**
     * From now on the worker refuses attempts of the shard with an older epoch; returns its attempts of the shard.
     *
     * @param shardEpoch epoch of the newest claim of the shard
     */
    List<TaskStatus> fence(Address worker, long epoch, int shard, long shardEpoch)
            throws StaleEpochException, UnavailableException;

    /** What the worker used some time ago. */
    Usage usage(Address worker) throws UnavailableException;

    /**
     * A lease over a worker.
     *
     * @param epoch epoch of this holder
     * @param incarnation changes when the worker restarts and has lost its tasks
     * @param tasks all attempts that the worker remembers
     * @param requestsInFlight requests that the endpoint serves at this moment
     */
    record Grant(long epoch, long incarnation, List<TaskStatus> tasks, int requestsInFlight) {
        public Grant {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Asks a worker to start an attempt.
     *
     * @param epoch epoch of the lease over the worker
     * @param shard job shard of the task's job
     * @param runTime how long the stand-in for the work takes; zero to run until stopped
     * @param lease time after which the attempt is stopped unless the lease over the worker is renewed
     * @param resumeFrom checkpoint to continue from
     */
    record StartCommand(
            long epoch,
            TaskId task,
            String workClass,
            int shard,
            Attempt attempt,
            Resources demand,
            Duration runTime,
            Duration lease,
            Optional<CheckpointId> resumeFrom) {}

    /** What can be done to a running or ended attempt. */
    sealed interface TaskCommand {
        /** Ends it without a checkpoint. */
        record Stop() implements TaskCommand {}

        /** Writes a checkpoint and ends it. */
        record Checkpoint() implements TaskCommand {}

        /**
         * Limits its processor time.
         *
         * @param percent share of its demand that it may use, from 1 to 100
         */
        record Throttle(int percent) implements TaskCommand {}

        /** Drops an ended attempt whose end stands in the log. */
        record Forget() implements TaskCommand {}
    }

    /**
     * Usage at one time in the past.
     *
     * @param asOf when it was measured
     * @param tasks use of each running task
     * @param requestsInFlight requests that the endpoint was serving
     * @param requestLatency 99th percentile of the endpoint's own service time over the last second
     */
    record Usage(Instant asOf, List<TaskUsage> tasks, int requestsInFlight, Duration requestLatency) {
        public Usage {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Use of one running task.
     *
     * @param milliCores processor time used, in thousandths of a core
     * @param memoryMiB memory used, in mebibytes
     * @param progress share of the work done, from 0 to 1; 0 for tasks that run until stopped
     */
    record TaskUsage(TaskId task, String workClass, int milliCores, long memoryMiB, double progress) {}
}
