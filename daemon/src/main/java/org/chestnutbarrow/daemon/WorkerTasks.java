package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.IntToLongFunction;
import java.util.function.Supplier;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Freshness;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.RefusedException;
import org.chestnutbarrow.model.SchedulerException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerMessage.CommandResult;
import org.chestnutbarrow.peer.PeerMessage.ControlTask;
import org.chestnutbarrow.peer.PeerMessage.FenceShard;
import org.chestnutbarrow.peer.PeerMessage.ShardTasks;
import org.chestnutbarrow.peer.PeerMessage.StartTask;
import org.chestnutbarrow.peer.PeerMessage.TaskAction;
import org.chestnutbarrow.peer.PeerMessage.TaskResult;
import org.chestnutbarrow.ports.WorkerControl;
import org.chestnutbarrow.ports.WorkerControl.StartCommand;
import org.chestnutbarrow.ports.WorkerControl.TaskCommand;

/**
 * Executes task commands on the workers whose leases this daemon holds. Safe for use by several threads: commands for
 * one worker are serialized by its own lock, which is held during the remote call so that its result is final; callers
 * are virtual threads.
 *
 * <p>Invariants: every start is checked against the configuration, its freshness and the shard claim, and is charged to
 * the capacity ledger, before it is sent; a start whose outcome is unknown stays charged until the worker has reported
 * its state; a refused start cannot take effect afterwards.
 */
final class WorkerTasks {
    private static final Duration TASK_LEASE_DURATION = Duration.ofMillis(3_500);

    private final TimeSource time;
    private final WorkerControl control;
    private final CapacityLedger ledger;
    private final Supplier<Freshness> freshness;
    private final Supplier<Configuration> configuration;
    private final IntToLongFunction shardEpoch;
    private final BiConsumer<WorkerId, List<TaskStatus>> statusListener;
    private final Map<WorkerId, WorkerAttempts> workers = new ConcurrentHashMap<>();

    /**
     * Creates the executor of commands.
     *
     * @param shardEpoch returns the epoch of the newest known claim of a job shard
     * @param statusListener receives changed statuses of attempts, for the owners of their shards
     */
    WorkerTasks(
            TimeSource time,
            WorkerControl control,
            CapacityLedger ledger,
            Supplier<Freshness> freshness,
            Supplier<Configuration> configuration,
            IntToLongFunction shardEpoch,
            BiConsumer<WorkerId, List<TaskStatus>> statusListener) {
        this.time = time;
        this.control = control;
        this.ledger = ledger;
        this.freshness = freshness;
        this.configuration = configuration;
        this.shardEpoch = shardEpoch;
        this.statusListener = statusListener;
    }

    /** Starts an attempt, or returns its status if it was started before. */
    TaskResult start(StartTask start) {
        return attempts(start.worker()).withLock(attempts -> start(start, attempts));
    }

    private TaskResult start(StartTask start, WorkerAttempts attempts) {
        Optional<AvailableCapacity> capacity = ledger.availableOn(start.worker());
        if (capacity.isEmpty()) {
            return result(CommandResult.NOT_HOLDER, "this daemon does not hold the lease of the worker");
        }
        Optional<TaskStatus> known = attempts.status(start.task(), start.attempt());
        if (known.isPresent()) {
            return new TaskResult(CommandResult.DONE, "", known);
        }
        if (attempts.isSettled(start.task(), start.attempt())) {
            return result(CommandResult.REFUSED, "the attempt was already refused or forgotten");
        }
        if (capacity.get().epoch() != start.leaseEpoch()) {
            // The attempt may run under an earlier lease, so only the worker knows its state.
            return stopUncertain(start.worker(), start.task(), start.attempt(), capacity.get(), attempts);
        }
        String refusalReason = refusalReason(start, capacity.get());
        if (!refusalReason.isEmpty()) {
            return attempts.isUncertain(start.task(), start.attempt())
                    ? stopUncertain(start.worker(), start.task(), start.attempt(), capacity.get(), attempts)
                    : refuse(start.worker(), start.task(), start.attempt(), refusalReason, attempts);
        }
        Optional<Long> epoch = ledger.chargeTask(start.worker(), start.task(), start.attempt(), start.demand());
        if (epoch.isEmpty()) {
            return refuse(start.worker(), start.task(), start.attempt(), "not enough free capacity", attempts);
        }
        return send(start, epoch.get(), capacity.get(), attempts);
    }

    /** Returns the reason why the start is not allowed; empty if it is. */
    private String refusalReason(StartTask start, AvailableCapacity capacity) {
        if (!freshness.get().allowsStarts()) {
            return "this daemon's configuration is stale";
        }
        if (!configuration.get().startsAllowed(capacity.worker().zone())) {
            return "availability zone " + capacity.worker().zone() + " is out of service";
        }
        return shardEpoch.applyAsLong(start.shard()) > start.attempt().epoch()
                ? "the shard has been claimed under a newer epoch"
                : "";
    }

    private TaskResult send(StartTask start, long epoch, AvailableCapacity capacity, WorkerAttempts attempts) {
        StartCommand command = new StartCommand(
                epoch,
                start.task(),
                start.workClass(),
                start.shard(),
                start.attempt(),
                start.demand(),
                start.runTime(),
                TASK_LEASE_DURATION,
                start.resumeFrom());
        try {
            return onStatus(start.worker(), control.start(capacity.worker().control(), command), attempts);
        } catch (OutcomeUnknownException e) {
            attempts.markUncertain(start.task(), start.attempt());
            return result(CommandResult.UNKNOWN, e.getMessage());
        } catch (NotRunException e) {
            // An earlier start command for the same attempt may still have taken effect.
            return attempts.isUncertain(start.task(), start.attempt())
                    ? result(CommandResult.UNKNOWN, e.getMessage())
                    : refuse(start.worker(), start.task(), start.attempt(), e.getMessage(), attempts);
        } catch (StaleEpochException e) {
            return onStaleEpoch(start.worker(), start.task(), start.attempt(), e, attempts);
        } catch (RefusedException e) {
            return refuse(start.worker(), start.task(), start.attempt(), e.getMessage(), attempts);
        }
    }

    /** Handles a start rejected by the worker because another daemon holds its lease and decides on the attempt. */
    private TaskResult onStaleEpoch(
            WorkerId worker, TaskId task, Attempt attempt, StaleEpochException e, WorkerAttempts attempts) {
        boolean uncertain = attempts.isUncertain(task, attempt);
        if (!uncertain) {
            ledger.releaseTask(worker, task, attempt);
        }
        return result(uncertain ? CommandResult.UNKNOWN : CommandResult.NOT_HOLDER, e.getMessage());
    }

    private TaskResult refuse(WorkerId worker, TaskId task, Attempt attempt, String reason, WorkerAttempts attempts) {
        ledger.releaseTask(worker, task, attempt);
        attempts.settle(task, attempt);
        return result(CommandResult.REFUSED, reason);
    }

    /** Stops an attempt whose start must not be repeated, which also resolves the outcome of the start. */
    private TaskResult stopUncertain(
            WorkerId worker, TaskId task, Attempt attempt, AvailableCapacity capacity, WorkerAttempts attempts) {
        return apply(worker, task, attempt, new TaskCommand.Stop(), capacity, attempts);
    }

    private TaskResult onStatus(WorkerId worker, TaskStatus status, WorkerAttempts attempts) {
        attempts.put(status);
        if (status.state().ended()) {
            ledger.releaseTask(worker, status.task(), status.attempt());
        }
        return new TaskResult(CommandResult.DONE, "", Optional.of(status));
    }

    /** Stops, checkpoints or forgets an attempt. */
    TaskResult control(ControlTask command) {
        return attempts(command.worker()).withLock(attempts -> {
            Optional<AvailableCapacity> capacity = ledger.availableOn(command.worker());
            if (capacity.isEmpty()) {
                return result(CommandResult.NOT_HOLDER, "this daemon does not hold the lease of the worker");
            }
            TaskCommand taskCommand = switch (command.action()) {
                case STOP -> new TaskCommand.Stop();
                case CHECKPOINT -> new TaskCommand.Checkpoint();
                case FORGET -> new TaskCommand.Forget();
            };
            return apply(command.worker(), command.task(), command.attempt(), taskCommand, capacity.get(), attempts);
        });
    }

    private TaskResult apply(
            WorkerId worker,
            TaskId task,
            Attempt attempt,
            TaskCommand taskCommand,
            AvailableCapacity capacity,
            WorkerAttempts attempts) {
        try {
            TaskStatus status =
                    control.apply(capacity.worker().control(), capacity.epoch(), task, attempt, taskCommand);
            TaskResult result = onStatus(worker, status, attempts);
            if (taskCommand instanceof TaskCommand.Forget) {
                attempts.settle(task, attempt);
            }
            return result;
        } catch (RefusedException e) {
            return refuse(worker, task, attempt, e.getMessage(), attempts);
        } catch (StaleEpochException e) {
            return result(CommandResult.NOT_HOLDER, e.getMessage());
        } catch (SchedulerException e) {
            return result(CommandResult.UNKNOWN, e.getMessage());
        }
    }

    /** Fences a shard on every held worker; workers that did not respond are missing from the result. */
    ShardTasks fence(FenceShard fence) {
        Map<WorkerId, List<TaskStatus>> fenced = new HashMap<>();
        for (AvailableCapacity capacity : ledger.available()) {
            WorkerId worker = capacity.worker().id();
            attempts(worker).withLock(attempts -> {
                try {
                    List<TaskStatus> tasks = control.fence(
                            capacity.worker().control(), capacity.epoch(), fence.shard(), fence.shardEpoch());
                    fenced.put(worker, tasks);
                } catch (SchedulerException e) {
                    Events.warn("fence-failed", "shard", fence.shard(), "worker", worker, "reason", e.getMessage());
                }
                return null;
            });
        }
        return new ShardTasks(fence.shard(), fence.shardEpoch(), fenced);
    }

    /**
     * Merges the complete list of attempts that a worker reported when its lease was granted or renewed.
     *
     * @param requestedAt monotonic nanoseconds at which the lease was requested; the list need not contain attempts
     *     learned of later
     */
    void onReport(WorkerId worker, List<TaskStatus> tasks, long requestedAt) {
        List<TaskStatus> changes = attempts(worker).withLock(attempts -> {
            List<TaskStatus> changedStatuses = attempts.merge(tasks, requestedAt);
            for (TaskStatus status : changedStatuses) {
                if (status.state().ended()) {
                    ledger.releaseTask(worker, status.task(), status.attempt());
                }
            }
            return changedStatuses;
        });
        if (!changes.isEmpty()) {
            statusListener.accept(worker, changes);
        }
    }

    /** Returns the known running attempts on a held worker. */
    List<TaskStatus> running(WorkerId worker) {
        return attempts(worker).withLock(WorkerAttempts::running);
    }

    /** Checkpoints and ends an attempt, and notifies the owner of its shard, which resumes the task elsewhere. */
    void evict(WorkerId worker, TaskId task, Attempt attempt) {
        TaskResult result = control(new ControlTask(worker, task, attempt, TaskAction.CHECKPOINT));
        result.status().ifPresent(status -> statusListener.accept(worker, List.of(status)));
    }

    private WorkerAttempts attempts(WorkerId worker) {
        return workers.computeIfAbsent(worker, id -> new WorkerAttempts(time));
    }

    private static TaskResult result(CommandResult result, String reason) {
        return new TaskResult(result, reason, Optional.empty());
    }
}
