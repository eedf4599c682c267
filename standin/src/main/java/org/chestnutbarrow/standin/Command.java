package org.chestnutbarrow.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;

/** A command to a worker. Record components are named after the fields of the protocol. */
sealed interface Command {
    /** Parses a request to the control server; returns empty if method and path do not denote a command. */
    static Optional<Command> parse(HttpRequest request) throws JsonProcessingException {
        Class<? extends Command> type = switch (request.method() + " " + request.path()) {
            case "POST /v1/lease" -> Lease.class;
            case "DELETE /v1/lease" -> Release.class;
            case "POST /v1/tasks/start" -> Start.class;
            case "POST /v1/tasks/stop" -> Stop.class;
            case "POST /v1/tasks/checkpoint" -> Checkpoint.class;
            case "POST /v1/tasks/throttle" -> Throttle.class;
            case "POST /v1/tasks/forget" -> Forget.class;
            case "POST /v1/fence" -> Fence.class;
            default -> null;
        };
        if (type == null) {
            return Optional.empty();
        }
        Command command = Json.parse(request, type);
        if (command instanceof AttemptCommand attemptCommand) {
            Checks.require(
                    attemptCommand.task() != null && attemptCommand.attempt() != null, "task and attempt are required");
        }
        return Optional.of(command);
    }

    /** Epoch of the worker lease under which the command is issued. */
    long epoch();

    /** Acquires (epoch 0) or renews the lease on the worker. */
    record Lease(String holder, long epoch, long ttlMs) implements Command {
        public Lease {
            Checks.identifier("holder", holder);
            Checks.require(epoch >= 0 && ttlMs > 0, "epoch must not be negative and ttlMs must be positive");
        }
    }

    /** Releases the lease. */
    record Release(String holder, long epoch) implements Command {}

    /**
     * Starts a task attempt.
     *
     * @param cpuShare initial CPU limit in percent of the demanded CPU; null or 0 means no limit
     */
    record Start(
            long epoch,
            String task,
            int shard,
            Attempt attempt,
            Resources demand,
            long runMs,
            long leaseMs,
            String resumeFrom,
            String workClass,
            Integer cpuShare)
            implements Command {
        public Start {
            TaskId.parse(task);
            Checks.require(attempt != null && demand != null, "attempt and demand are required");
            Checks.require(runMs >= 0 && leaseMs > 0, "runMs must not be negative and leaseMs must be positive");
            cpuShare = cpuShare == null || cpuShare == 0 ? Task.FULL_PERCENT : cpuShare;
            Checks.require(cpuShare > 0 && cpuShare <= Task.FULL_PERCENT, "cpuShare must be between 0 and 100");
        }
    }

    /** A command that addresses a single task attempt. */
    sealed interface AttemptCommand extends Command {
        /** Task id in the form {@code job/index}. */
        String task();

        /** The addressed attempt. */
        Attempt attempt();
    }

    /** Stops the attempt. */
    record Stop(long epoch, String task, Attempt attempt) implements AttemptCommand {}

    /** Writes a checkpoint and stops the attempt. */
    record Checkpoint(long epoch, String task, Attempt attempt) implements AttemptCommand {}

    /** Limits the attempt to a percentage of its demanded CPU. */
    record Throttle(long epoch, String task, Attempt attempt, int percent) implements AttemptCommand {
        public Throttle {
            Checks.require(percent > 0 && percent <= Task.FULL_PERCENT, "percent must be between 1 and 100");
        }
    }

    /** Removes the record of an ended attempt. */
    record Forget(long epoch, String task, Attempt attempt) implements AttemptCommand {}

    /** Makes the worker reject attempts of the shard from epochs before {@code shardEpoch}. */
    record Fence(long epoch, int shard, long shardEpoch) implements Command {}
}
