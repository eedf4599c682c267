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

/** A message between two daemons. Immutable; byte arrays are not copied, do not change them. */
public sealed interface PeerMessage {
    /**
     * Sent every 250 ms to every configured peer.
     *
     * @param incarnation differs for every start of a daemon's process
     * @param leaving whether the sender is shutting down
     * @param position offset of the last log record that the sender has applied; -1 before any
     * @param logAge time since the sender itself last knew that it had read the log to its end; empty if never
     * @param readsLog whether the sender's last attempt to read the log succeeded
     * @param version version of the configuration that the sender has in force
     * @param workers workers that the sender holds the lease of, with their room
     * @param silent daemons that the sender has not heard lately; empty if it knows of newer log records than its own
     * @param teamUse what tasks of the sender's job shards use, by team
     */
    record Heartbeat(
            DaemonId daemon,
            long incarnation,
            boolean leaving,
            long position,
            Optional<Duration> logAge,
            boolean readsLog,
            long version,
            List<WorkerRoom> workers,
            Set<DaemonId> silent,
            Map<String, Resources> teamUse)
            implements PeerMessage {
        public Heartbeat {
            workers = List.copyOf(workers);
            silent = Set.copyOf(silent);
            teamUse = Map.copyOf(teamUse);
        }
    }

    /**
     * What is free on a worker that the sender holds the lease of.
     *
     * @param epoch epoch of that lease
     */
    record WorkerRoom(WorkerId worker, Resources free, long epoch) {}

    /**
     * Asks a peer to run an interactive request on one of its workers. It is not forwarded again.
     *
     * @param idempotent whether the peer may send it to an endpoint more than once
     * @param deadline time left
     * @param headers alternating names and values
     */
    record ForwardRequest(
            String workClass,
            String requestId,
            boolean idempotent,
            Duration deadline,
            String method,
            String target,
            List<String> headers,
            byte[] body)
            implements PeerMessage {}

    /**
     * The answer to {@link ForwardRequest}.
     *
     * @param outcome value of the outcome header: {@code ran}, {@code not-run} or {@code unknown}
     * @param reason why it was not run or is unknown; empty otherwise
     * @param worker worker that ran it; empty if none
     */
    record ForwardResponse(String outcome, String reason, String worker, int status, List<String> headers, byte[] body)
            implements PeerMessage {}

    /**
     * Asks the holder of a worker's lease to start an attempt there.
     *
     * @param leaseEpoch epoch of the holder's lease as the sender knows it; under another one the attempt is not started,
     *     because the message may have been on its way for longer than the sender waits for an attempt to lapse
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

    /** Asks the holder of a worker's lease to do something to an attempt. */
    record ControlTask(WorkerId worker, TaskId task, Attempt attempt, TaskAction action) implements PeerMessage {}

    /** What {@link ControlTask} asks for. */
    enum TaskAction {
        STOP,
        CHECKPOINT,
        FORGET
    }

    /**
     * The answer to {@link StartTask} and {@link ControlTask}.
     *
     * @param result what became of the command
     * @param reason why it was refused or is unknown; empty if it was done
     * @param status the attempt's state as the worker told it, if it did
     */
    record TaskResult(CommandResult result, String reason, Optional<TaskStatus> status) implements PeerMessage {}

    /** What became of a command. */
    enum CommandResult {
        DONE,
        /** The worker or its holder refused; nothing was done. */
        REFUSED,
        /** The receiver does not hold the lease of the worker; nothing was done. */
        NOT_HOLDER,
        /** It may have been done. */
        UNKNOWN
    }

    /** Tells the owner of a job shard the states of attempts on the sender's workers. */
    record TasksChanged(WorkerId worker, List<TaskStatus> tasks) implements PeerMessage {
        public TasksChanged {
            tasks = List.copyOf(tasks);
        }
    }

    /** Asks the receiver to fence a job shard at all workers that it holds the lease of. */
    record FenceShard(int shard, long shardEpoch) implements PeerMessage {}

    /** The answer to {@link FenceShard}: attempts of the shard at each worker that was fenced. */
    record ShardTasks(int shard, long shardEpoch, Map<WorkerId, List<TaskStatus>> tasks) implements PeerMessage {
        public ShardTasks {
            tasks = Map.copyOf(tasks);
        }
    }

    /** Asks for the receiver's state of the log. */
    record FetchCatalog() implements PeerMessage {}

    /** The answer to {@link FetchCatalog}: a snapshot record as it would stand in the log. */
    record CatalogSnapshot(long position, byte[] snapshot) implements PeerMessage {}

    /** Asks whether the receiver has applied the log up to a position; answered with {@link Position}. */
    record ConfirmPosition(long position) implements PeerMessage {}

    /** The offset of the last log record that the sender has applied. */
    record Position(long position) implements PeerMessage {}

    /** Asks what the receiver has decided on a request or job; answered with {@link Explanation}. */
    record Explain(String id) implements PeerMessage {}

    /** Lines about a request or job, oldest first; empty if the sender knows nothing of it. */
    record Explanation(List<String> lines) implements PeerMessage {
        public Explanation {
            lines = List.copyOf(lines);
        }
    }

    /** The receiver could not handle the request; nothing was done. */
    record Failure(String reason) implements PeerMessage {}
}
