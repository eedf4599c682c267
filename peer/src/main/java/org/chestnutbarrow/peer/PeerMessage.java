package org.chestnutbarrow.peer;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.WorkerId;

/** A message between two daemons. Immutable; byte arrays are not copied and must not be modified. */
public sealed interface PeerMessage {
    /**
     * Reports the sender's state; sent every 250 ms to every configured peer.
     *
     * @param incarnation identifies one run of the daemon process; different after every start
     * @param leaving whether the sender is shutting down
     * @param position offset of the last log record that the sender has applied; -1 before any
     * @param logAge time since the sender last confirmed by itself that it had read the log to its end; empty if never
     * @param logReadable whether the sender's last attempt to read the log succeeded
     * @param configurationVersion version of the configuration that is in force at the sender
     * @param workers free capacity of the workers whose leases the sender holds
     * @param suspectedDaemons daemons that the sender has not heard from recently; empty if it knows of log records
     * that
     *     it has not applied yet
     * @param teamUsage resources used by the tasks of the sender's job shards, by team
     */
    record Heartbeat(
            DaemonId daemon,
            long incarnation,
            boolean leaving,
            long position,
            Optional<Duration> logAge,
            boolean logReadable,
            long configurationVersion,
            List<WorkerCapacity> workers,
            Set<DaemonId> suspectedDaemons,
            Map<String, Resources> teamUsage)
            implements PeerMessage {
        public Heartbeat {
            workers = List.copyOf(workers);
            suspectedDaemons = Set.copyOf(suspectedDaemons);
            teamUsage = Map.copyOf(teamUsage);
        }
    }

    /**
     * The free capacity of a worker whose lease the sender holds.
     *
     * @param epoch epoch of the lease
     */
    record WorkerCapacity(WorkerId worker, Resources free, long epoch) {}

    /**
     * Asks a peer to run an interactive request on one of its workers. The peer does not forward it again.
     *
     * @param idempotent whether the peer may send the request to an endpoint more than once
     * @param timeout time left until the deadline of the request
     * @param headers header names and values in alternation
     */
    record ForwardRequest(
            String workClass,
            String requestId,
            boolean idempotent,
            Duration timeout,
            String method,
            String target,
            List<String> headers,
            byte[] body)
            implements PeerMessage {}

    /**
     * The response to {@link ForwardRequest}.
     *
     * @param outcome value of the outcome header: {@code ran}, {@code not-run} or {@code unknown}
     * @param reason why the request was not run or its outcome is unknown; empty otherwise
     * @param worker worker that ran the request; empty if none did
     */
    record ForwardResponse(String outcome, String reason, String worker, int status, List<String> headers, byte[] body)
            implements PeerMessage {}

    /**
     * Asks the holder of a worker's lease to start a task attempt on that worker.
     *
     * @param leaseEpoch epoch of the holder's lease as known to the sender; the attempt is not started if the holder's
     *     epoch differs, because the message may have been in transit for longer than the sender waits for an attempt
     *     to expire
     */
    record StartTask(
            WorkerId worker,
            long leaseEpoch,
            TaskId task,
            String workClass,
            int shard,
            Attempt attempt,
            Resources demand,
            Duration runTime,
            Optional<CheckpointId> resumeFrom)
            implements PeerMessage {}

    /** Asks the holder of a worker's lease to perform an action on a task attempt. */
    record ControlTask(WorkerId worker, TaskId task, Attempt attempt, TaskAction action) implements PeerMessage {}

    /** The action that {@link ControlTask} requests. */
    enum TaskAction {
        STOP,
        CHECKPOINT,
        FORGET
    }

    /**
     * The response to {@link StartTask} and {@link ControlTask}.
     *
     * @param result outcome of the command
     * @param reason why the command was refused or its outcome is unknown; empty if it was done
     * @param status status of the attempt as reported by the worker, if available
     */
    record TaskResult(CommandResult result, String reason, Optional<TaskStatus> status) implements PeerMessage {}

    /** The outcome of a command. */
    enum CommandResult {
        DONE,
        /** The worker or the holder of its lease refused the command; nothing was done. */
        REFUSED,
        /** The receiver does not hold the lease of the worker; nothing was done. */
        NOT_HOLDER,
        /** The command may or may not have been carried out. */
        UNKNOWN
    }

    /** Reports the states of task attempts on one of the sender's workers to the owner of their job shard. */
    record TasksChanged(WorkerId worker, List<TaskStatus> tasks) implements PeerMessage {
        public TasksChanged {
            tasks = List.copyOf(tasks);
        }
    }

    /** Asks the receiver to fence a job shard on all workers whose leases it holds. */
    record FenceShard(int shard, long shardEpoch) implements PeerMessage {}

    /** The response to {@link FenceShard}: the attempts of the shard on each worker that was fenced. */
    record ShardTasks(int shard, long shardEpoch, Map<WorkerId, List<TaskStatus>> tasks) implements PeerMessage {
        public ShardTasks {
            tasks = Map.copyOf(tasks);
        }
    }

    /** Requests a snapshot of the catalog that the receiver has built from the log. */
    record FetchCatalog() implements PeerMessage {}

    /** The response to {@link FetchCatalog}: a snapshot record in the encoding of the log. */
    record CatalogSnapshot(long position, byte[] snapshot) implements PeerMessage {}

    /** Asks whether the receiver has applied the log up to a position; the response is {@link Position}. */
    record ConfirmPosition(long position) implements PeerMessage {}

    /** The offset of the last log record that the sender has applied. */
    record Position(long position) implements PeerMessage {}

    /** Asks for the receiver's decisions on a request or job; the response is {@link Explanation}. */
    record Explain(String id) implements PeerMessage {}

    /** Decisions on a request or job, one per line, oldest first; empty if the id is unknown to the sender. */
    record Explanation(List<String> lines) implements PeerMessage {
        public Explanation {
            lines = List.copyOf(lines);
        }
    }

    /** A message of a protocol that another module defines; the content is opaque to the link. */
    record Custom(byte[] content) implements PeerMessage {}

    /** Reports that the receiver could not handle the request; nothing was done. */
    record Failure(String reason) implements PeerMessage {}
}
