package org.chestnutbarrow.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.chestnutbarrow.http.HttpRequest;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;

/** A command to a worker; field names are those of the protocol. */
sealed interface Command {
    /** The command that a request to the control server holds; empty if the path is none of a command. */
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
        Command command = Json.read(request, type);
        if (command instanceof ForTask forTask) {
            Checks.require(forTask.task() != null && forTask.attempt() != null, "task and attempt are needed");
        }
        return Optional.of(command);
    }

    /** Epoch of the worker lease under which the command is issued. */
    long epoch();

    /** Takes (epoch 0) or renews the lease on the worker. */
    record Lease(String holder, long epoch, long ttlMs) implements Command {
        public Lease {
            Checks.identifier("holder", holder);
            Checks.require(epoch >= 0 && ttlMs > 0, "epoch must not be negative, ttlMs positive");
        }
    }

    /** Gives the lease back. */
    record Release(String holder, long epoch) implements Command {}

    /**
     * Starts an attempt.
     *
     * @param cpuShare percent of the demanded processor time that it may use at first; absent or 0 for all
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
            Checks.require(attempt != null && demand != null, "a start needs attempt and demand");
            Checks.require(runMs >= 0 && leaseMs > 0, "runMs must not be negative, leaseMs positive");
            cpuShare = cpuShare == null || cpuShare == 0 ? Task.FULL_PERCENT : cpuShare;
            Checks.require(cpuShare > 0 && cpuShare <= Task.FULL_PERCENT, "cpuShare must be from 0 to 100");
        }
    }

    /** A command to one attempt. */
    sealed interface ForTask extends Command {
        /** The task, {@code job/index}. */
        String task();

        /** The attempt that is meant. */
        Attempt attempt();
    }

    /** Ends the attempt. */
    record Stop(long epoch, String task, Attempt attempt) implements ForTask {}

    /** Writes a checkpoint and ends the attempt. */
    record Checkpoint(long epoch, String task, Attempt attempt) implements ForTask {}

    /** Limits the attempt to a percentage of its demanded processor time. */
    record Throttle(long epoch, String task, Attempt attempt, int percent) implements ForTask {
        public Throttle {
            Checks.require(percent > 0 && percent <= Task.FULL_PERCENT, "percent must be from 1 to 100");
        }
    }

    /** Drops an ended attempt. */
    record Forget(long epoch, String task, Attempt attempt) implements ForTask {}

    /** Refuses older attempts of the shard from now on. */
    record Fence(long epoch, int shard, long shardEpoch) implements Command {}
}
