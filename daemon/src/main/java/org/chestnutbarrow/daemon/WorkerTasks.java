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
 * Carries out commands for the workers that this daemon holds the lease of. Safe for use by several threads: commands
 * for one worker take turns under its own lock, which is held across the call so that an answer is final; callers are
 * virtual threads.
 *
 * <p>Invariants: every start passes the gate and is charged before it is sent; a start whose outcome is unknown stays
 * charged until the worker has told its state; a refused start cannot take effect afterwards.
 */
final class WorkerTasks {
    private static final Duration TASK_LEASE = Duration.ofMillis(3_500);

    private final TimeSource time;
    private final WorkerControl control;
    private final CapacityLedger accounts;
    private final Supplier<Freshness> freshness;
    private final Supplier<Configuration> configuration;
    private final IntToLongFunction shardEpoch;
    private final BiConsumer<WorkerId, List<TaskStatus>> changed;
    private final Map<WorkerId, WorkerAttempts> workers = new ConcurrentHashMap<>();

    /**
     * Creates it.
     *
     * @param shardEpoch epoch of the newest claim of a job shard that this daemon knows
     * @param changed takes states of attempts that changed, for the owners of their shards
     */
    WorkerTasks(
            TimeSource time,
            WorkerControl control,
            CapacityLedger accounts,
            Supplier<Freshness> freshness,
            Supplier<Configuration> configuration,
            IntToLongFunction shardEpoch,
            BiConsumer<WorkerId, List<TaskStatus>> changed) {
        this.time = time;
        this.control = control;
        this.accounts = accounts;
        this.freshness = freshness;
        this.configuration = configuration;
        this.shardEpoch = shardEpoch;
        this.changed = changed;
    }

    /** Starts an attempt, or learns its state if it was started before. */
    TaskResult start(StartTask start) {
        return attempts(start.worker()).exclusively(attempts -> start(start, attempts));
    }

    private TaskResult start(StartTask start, WorkerAttempts attempts) {
        Optional<AvailableCapacity> room = accounts.availableOn(start.worker());
        if (room.isEmpty()) {
            return result(CommandResult.NOT_HOLDER, "the lease of the worker is not held here");
        }
        Optional<TaskStatus> known = attempts.status(start.task(), start.attempt());
        if (known.isPresent()) {
            return new TaskResult(CommandResult.DONE, "", known);
        }
        if (attempts.settled(start.task(), start.attempt())) {
            return result(CommandResult.REFUSED, "the attempt was refused or forgotten before");
        }
        if (room.get().epoch() != start.leaseEpoch()) {
            // The attempt may run under an earlier lease, so only the worker can say what became of it.
            return withdraw(start.worker(), start.task(), start.attempt(), room.get(), attempts);
        }
        String closed = closed(start, room.get());
        if (!closed.isEmpty()) {
            return attempts.uncertain(start.task(), start.attempt())
                    ? withdraw(start.worker(), start.task(), start.attempt(), room.get(), attempts)
                    : refuse(start.worker(), start.task(), start.attempt(), closed, attempts);
        }
        Optional<Long> epoch = accounts.chargeTask(start.worker(), start.task(), start.attempt(), start.demand());
        if (epoch.isEmpty()) {
            return refuse(start.worker(), start.task(), start.attempt(), "no room", attempts);
        }
        return send(start, epoch.get(), room.get(), attempts);
    }

    /** Why the start must not be made; empty if it may. */
    private String closed(StartTask start, AvailableCapacity room) {
        if (!freshness.get().allowsStarts()) {
            return "this daemon's configuration is stale";
        }
        if (!configuration.get().startsAllowed(room.worker().zone())) {
            return "availability zone " + room.worker().zone() + " is out";
        }
        return shardEpoch.applyAsLong(start.shard()) > start.attempt().epoch() ? "the shard has a newer claim" : "";
    }

    private TaskResult send(StartTask start, long epoch, AvailableCapacity room, WorkerAttempts attempts) {
        StartCommand command = new StartCommand(
                epoch,
                start.task(),
                start.workClass(),
                start.shard(),
                start.attempt(),
                start.demand(),
                start.runTime(),
                TASK_LEASE,
                start.resumeFrom());
        try {
            return done(start.worker(), control.start(room.worker().control(), command), attempts);
        } catch (OutcomeUnknownException e) {
            attempts.markUncertain(start.task(), start.attempt());
            return result(CommandResult.UNKNOWN, e.getMessage());
        } catch (NotRunException e) {
            // An earlier command for the same attempt may still have taken effect.
            return attempts.uncertain(start.task(), start.attempt())
                    ? result(CommandResult.UNKNOWN, e.getMessage())
                    : refuse(start.worker(), start.task(), start.attempt(), e.getMessage(), attempts);
        } catch (StaleEpochException e) {
            return lost(start.worker(), start.task(), start.attempt(), e, attempts);
        } catch (RefusedException e) {
            return refuse(start.worker(), start.task(), start.attempt(), e.getMessage(), attempts);
        }
    }

    /** Another holder has the worker. Whether it knows the attempt is for that holder to say. */
    private TaskResult lost(
            WorkerId worker, TaskId task, Attempt attempt, StaleEpochException e, WorkerAttempts attempts) {
        boolean unclear = attempts.uncertain(task, attempt);
        if (!unclear) {
            accounts.releaseTask(worker, task, attempt);
        }
        return result(unclear ? CommandResult.UNKNOWN : CommandResult.NOT_HOLDER, e.getMessage());
    }

    private TaskResult refuse(WorkerId worker, TaskId task, Attempt attempt, String reason, WorkerAttempts attempts) {
        accounts.releaseTask(worker, task, attempt);
        attempts.settle(task, attempt);
        return result(CommandResult.REFUSED, reason);
    }

    /** Finds out by a stop what became of a start that must not be repeated. */
    private TaskResult withdraw(
            WorkerId worker, TaskId task, Attempt attempt, AvailableCapacity room, WorkerAttempts attempts) {
        return apply(worker, task, attempt, new TaskCommand.Stop(), room, attempts);
    }

    private TaskResult done(WorkerId worker, TaskStatus status, WorkerAttempts attempts) {
        attempts.put(status);
        if (status.state().ended()) {
            accounts.releaseTask(worker, status.task(), status.attempt());
        }
        return new TaskResult(CommandResult.DONE, "", Optional.of(status));
    }

    /** Stops, checkpoints or forgets an attempt. */
    TaskResult control(ControlTask command) {
        return attempts(command.worker()).exclusively(attempts -> {
            Optional<AvailableCapacity> room = accounts.availableOn(command.worker());
            if (room.isEmpty()) {
                return result(CommandResult.NOT_HOLDER, "the lease of the worker is not held here");
            }
            TaskCommand what = switch (command.action()) {
                case STOP -> new TaskCommand.Stop();
                case CHECKPOINT -> new TaskCommand.Checkpoint();
                case FORGET -> new TaskCommand.Forget();
            };
            return apply(command.worker(), command.task(), command.attempt(), what, room.get(), attempts);
        });
    }

    private TaskResult apply(
            WorkerId worker,
            TaskId task,
            Attempt attempt,
            TaskCommand what,
            AvailableCapacity room,
            WorkerAttempts attempts) {
        try {
            TaskStatus status = control.apply(room.worker().control(), room.epoch(), task, attempt, what);
            TaskResult result = done(worker, status, attempts);
            if (what instanceof TaskCommand.Forget) {
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

    /** Fences a shard at every held worker; workers that did not answer are missing from the result. */
    ShardTasks fence(FenceShard fence) {
        Map<WorkerId, List<TaskStatus>> found = new HashMap<>();
        for (AvailableCapacity room : accounts.available()) {
            WorkerId worker = room.worker().id();
            attempts(worker).exclusively(attempts -> {
                try {
                    List<TaskStatus> tasks =
                            control.fence(room.worker().control(), room.epoch(), fence.shard(), fence.shardEpoch());
                    found.put(worker, tasks);
                } catch (SchedulerException e) {
                    Events.warn("fence-failed", "shard", fence.shard(), "worker", worker, "reason", e.getMessage());
                }
                return null;
            });
        }
        return new ShardTasks(fence.shard(), fence.shardEpoch(), found);
    }

    /**
     * Takes the complete list of attempts that a grant or renewal of the lease reported.
     *
     * @param asked monotonic nanoseconds at which the lease was asked for; attempts learnt of later are not missing
     */
    void reported(WorkerId worker, List<TaskStatus> tasks, long asked) {
        List<TaskStatus> news = attempts(worker).exclusively(attempts -> {
            List<TaskStatus> differing = attempts.merge(tasks, asked);
            for (TaskStatus status : differing) {
                if (status.state().ended()) {
                    accounts.releaseTask(worker, status.task(), status.attempt());
                }
            }
            return differing;
        });
        if (!news.isEmpty()) {
            changed.accept(worker, news);
        }
    }

    /** Attempts that run on a held worker, as far as is known. */
    List<TaskStatus> running(WorkerId worker) {
        return attempts(worker).exclusively(WorkerAttempts::running);
    }

    /** Lets an attempt write a checkpoint and end; the owner of its shard is told and resumes it elsewhere. */
    void evict(WorkerId worker, TaskId task, Attempt attempt) {
        TaskResult result = control(new ControlTask(worker, task, attempt, TaskAction.CHECKPOINT));
        result.status().ifPresent(status -> changed.accept(worker, List.of(status)));
    }

    private WorkerAttempts attempts(WorkerId worker) {
        return workers.computeIfAbsent(worker, id -> new WorkerAttempts(time));
    }

    private static TaskResult result(CommandResult result, String reason) {
        return new TaskResult(result, reason, Optional.empty());
    }
}
