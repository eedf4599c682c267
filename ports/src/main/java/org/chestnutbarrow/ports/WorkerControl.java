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
 * The control interface of a worker. Implementations are safe for use by several threads; calls block.
 *
 * <p>Commands are idempotent: the worker identifies an attempt by task and attempt number and responds with its current
 * state. All commands except {@link #lease} and {@link #usage} carry the epoch of the caller's lease on the worker.
 */
public interface WorkerControl {
    /**
     * Acquires or renews the lease on the worker, which also renews the leases of all its tasks.
     *
     * @param holder the daemon that acquires the lease or, for a renewal, already holds it
     * @param epoch 0 to acquire the lease, otherwise the epoch under which it is held
     * @throws RefusedException if another daemon holds the lease
     * @throws StaleEpochException if another daemon has acquired the lease since
     * @throws UnavailableException if no valid response was received; the lease may or may not have been acquired
     */
    Grant lease(Address worker, DaemonId holder, long epoch, Duration ttl)
            throws RefusedException, StaleEpochException, UnavailableException;

    /** Releases the lease held by the daemon {@code holder}, so that another daemon can acquire it immediately. */
    void release(Address worker, DaemonId holder, long epoch) throws StaleEpochException, UnavailableException;

    /**
     * Starts an attempt, or returns its status if the worker has already started it.
     *
     * @throws RefusedException if the worker lacks capacity or has seen a newer attempt; the attempt was not started
     * @throws NotRunException if nothing was sent
     * @throws OutcomeUnknownException if the attempt may have started; repeat the same command to determine the outcome
     */
    TaskStatus start(Address worker, StartCommand command)
            throws RefusedException, StaleEpochException, NotRunException, OutcomeUnknownException;

    /**
     * Applies a command to an attempt and returns its status.
     *
     * @throws RefusedException if the attempt is unknown to the worker
     * @throws UnavailableException if no valid response was received; repeat the command to determine the outcome
     */
    TaskStatus apply(Address worker, long epoch, TaskId task, Attempt attempt, TaskCommand command)
            throws RefusedException, StaleEpochException, UnavailableException;

    /**
     * Makes the worker reject attempts of the shard with an older epoch from now on; returns its attempts of the shard.
     *
     * @param shardEpoch epoch of the latest claim of the shard
     */
    List<TaskStatus> fence(Address worker, long epoch, int shard, long shardEpoch)
            throws StaleEpochException, UnavailableException;

    /** Returns the most recently measured resource usage of the worker. */
    Usage usage(Address worker) throws UnavailableException;

    /**
     * A lease on a worker.
     *
     * @param epoch epoch of the lease
     * @param incarnation changes when the worker restarts and has lost its tasks
     * @param tasks all attempts known to the worker
     * @param requestsInFlight requests that the endpoint is currently serving
     */
    record Grant(long epoch, long incarnation, List<TaskStatus> tasks, int requestsInFlight) {
        public Grant {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Parameters for starting an attempt.
     *
     * @param epoch epoch of the lease on the worker
     * @param shard job shard of the task's job
     * @param runTime estimated run time of the task; zero for a task that runs until stopped
     * @param lease time after which the worker stops the attempt unless its lease is renewed
     * @param resumeFrom checkpoint to resume from
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

    /** A command for a running or ended attempt. */
    sealed interface TaskCommand {
        /** Stops the attempt without a checkpoint. */
        record Stop() implements TaskCommand {}

        /** Writes a checkpoint and stops the attempt. */
        record Checkpoint() implements TaskCommand {}

        /**
         * Limits the attempt's processor time.
         *
         * @param percent percentage of its demand that it may use, from 1 to 100
         */
        record Throttle(int percent) implements TaskCommand {}

        /** Removes an ended attempt whose end has been recorded in the log. */
        record Forget() implements TaskCommand {}
    }

    /**
     * Resource usage at a time in the past.
     *
     * @param asOf time of the measurement
     * @param tasks usage of each running task
     * @param requestsInFlight requests that the endpoint was serving
     * @param requestLatency 99th percentile of the endpoint's service time during the last second
     */
    record Usage(Instant asOf, List<TaskUsage> tasks, int requestsInFlight, Duration requestLatency) {
        public Usage {
            tasks = List.copyOf(tasks);
        }
    }

    /**
     * Resource usage of a running task.
     *
     * @param milliCores processor time used, in thousandths of a core
     * @param memoryMiB memory used, in mebibytes
     * @param progress completed fraction of the work, from 0 to 1; 0 for tasks that run until stopped
     */
    record TaskUsage(TaskId task, String workClass, int milliCores, long memoryMiB, double progress) {}
}
