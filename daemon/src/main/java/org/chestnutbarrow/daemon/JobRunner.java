package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.DaemonId;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.peer.PeerLink;
import org.chestnutbarrow.peer.PeerMessage;
import org.chestnutbarrow.peer.PeerMessage.CommandResult;
import org.chestnutbarrow.peer.PeerMessage.ControlTask;
import org.chestnutbarrow.peer.PeerMessage.FenceShard;
import org.chestnutbarrow.peer.PeerMessage.ShardTasks;
import org.chestnutbarrow.peer.PeerMessage.StartTask;
import org.chestnutbarrow.peer.PeerMessage.TaskAction;
import org.chestnutbarrow.peer.PeerMessage.TaskResult;
import org.chestnutbarrow.placement.Connectivity;
import org.chestnutbarrow.placement.JobExplanation;
import org.chestnutbarrow.placement.JobShards;
import org.chestnutbarrow.placement.LoggedJob;
import org.chestnutbarrow.placement.PlacementEffect;
import org.chestnutbarrow.placement.PlacementEvent;
import org.chestnutbarrow.placement.PlacementEvent.StartResult;
import org.chestnutbarrow.placement.PlacementEvent.WorkerFreeCapacity;

/**
 * Carries out the effects of {@link JobShards}: calls the holder of each worker, appends ends to the log, and claims and
 * fences job shards. Safe for use by several threads; {@link #tick} and the catalog's events do not block.
 */
final class JobRunner {
    private static final Duration CALL = Duration.ofSeconds(1);
    private static final Duration FENCE = Duration.ofSeconds(3);

    private final DaemonId self;
    private final TimeSource time;
    private final JobShards shards;
    private final WorkerTasks local;
    private final PeerLink peers;
    private final Supplier<List<HeldWorker>> held;
    private final Supplier<Connectivity> contact;
    private final WorkerCallLimiter calls;
    private final EndsWriter ends;
    private final ShardClaims claims;
    private volatile Map<WorkerId, HeldWorker> workers = Map.of();

    /**
     * Creates it without shards; the first {@link #tick} claims.
     *
     * @param live daemons believed alive, this one included
     * @param held all workers that a live daemon holds the lease of
     * @param allWorkers all workers of the host list
     * @param contact how well this daemon hears the configured ones now
     * @param executor runs each task on a virtual thread of its own
     */
    JobRunner(
            DaemonId self,
            TimeSource time,
            JobShards shards,
            WorkerTasks local,
            PeerLink peers,
            JobLog log,
            Supplier<Collection<DaemonId>> live,
            Supplier<List<HeldWorker>> held,
            Supplier<Collection<WorkerId>> allWorkers,
            Supplier<Connectivity> contact,
            Executor executor) {
        this.self = self;
        this.time = time;
        this.shards = shards;
        this.local = local;
        this.peers = peers;
        this.held = held;
        this.contact = contact;
        calls = new WorkerCallLimiter(executor);
        ends = new EndsWriter(time, log, executor, this::apply);
        claims = new ShardClaims(self, time, log, live, held, allWorkers, contact, this::fence, executor, this::apply);
    }

    /** To be called every 100 ms or so, and earlier when a job was added. */
    void tick() {
        List<HeldWorker> now = held.get();
        Map<WorkerId, HeldWorker> byId = new HashMap<>();
        now.forEach(worker -> byId.put(worker.worker().id(), worker));
        workers = byId;
        List<WorkerFreeCapacity> rooms = now.stream()
                .map(worker -> new WorkerFreeCapacity(worker.worker(), worker.free()))
                .toList();
        apply(new PlacementEvent.WorkersChanged(rooms, contact.get()));
        claims.tick();
        apply(new PlacementEvent.Tick());
        ends.tick();
    }

    /** The catalog has applied the acceptance of a job. */
    void jobAdded(LoggedJob job) {
        apply(new PlacementEvent.JobAdded(job));
    }

    /** The catalog has applied the cancellation of a job. */
    void jobCancelled(JobId job) {
        apply(new PlacementEvent.JobCancelled(job));
    }

    /** The catalog has applied a claim of a job shard. */
    void shardClaimed(int shard, long epoch) {
        claims.onClaim(shard, epoch);
    }

    /** The catalog has put a configuration in force. */
    void configured(Configuration configuration) {
        apply(new PlacementEvent.ConfigurationChanged(configuration));
    }

    /** The holder of a worker, this daemon or a peer, reports attempts of shards owned here. */
    void tasksChanged(WorkerId worker, List<TaskStatus> tasks) {
        tasks.forEach(status -> apply(new PlacementEvent.TaskReported(worker, status)));
    }

    /** What attempts of the shards owned here use, by team, for the next heartbeat. */
    Map<String, Resources> teamUse() {
        return shards.usageByTeam();
    }

    /**
     * Takes the sum of what the other daemons last reported as {@link #teamUse}.
     *
     * <p>A team may be over its quota by what all daemons together start for it within one heartbeat and its transit,
     * and by running attempts that a new owner of a shard adopts.
     */
    void teamUseElsewhere(Map<String, Resources> use) {
        apply(new PlacementEvent.RemoteUsageReported(use));
    }

    Optional<JobExplanation> explain(JobId job) {
        return shards.explain(job);
    }

    private void apply(PlacementEvent event) {
        shards.apply(event).forEach(this::execute);
    }

    private void execute(PlacementEffect effect) {
        switch (effect) {
            case PlacementEffect.Start start -> {
                logStart(start);
                calls.submit(start.worker(), () -> start(start));
            }
            case PlacementEffect.Stop stop -> control(stop.worker(), stop.task(), stop.attempt(), TaskAction.STOP);
            case PlacementEffect.Checkpoint move ->
                control(move.worker(), move.task(), move.attempt(), TaskAction.CHECKPOINT);
            case PlacementEffect.Forget forget ->
                control(forget.worker(), forget.task(), forget.attempt(), TaskAction.FORGET);
            case PlacementEffect.AppendEnd append -> ends.add(append);
            case PlacementEffect.Unplaceable job
            when job.reason().isEmpty() -> Events.info("job-placeable", "job", job.job());
            case PlacementEffect.Unplaceable job ->
                Events.warn("job-unplaceable", "job", job.job(), "reason", job.reason());
        }
    }

    private void logStart(PlacementEffect.Start start) {
        HeldWorker worker = workers.get(start.worker());
        Events.info(
                "place",
                "job",
                start.task().job(),
                "task",
                start.task().index(),
                "attempt",
                start.attempt(),
                "worker",
                start.worker(),
                "zone",
                worker == null ? "unknown" : worker.worker().zone(),
                "why",
                start.reason());
    }

    private void start(PlacementEffect.Start start) {
        HeldWorker held = workers.get(start.worker());
        StartTask message = new StartTask(
                start.worker(),
                held == null ? 0 : held.epoch(),
                start.task(),
                start.workClass(),
                start.shard(),
                start.attempt(),
                start.demand(),
                start.runTime(),
                start.resumeFrom());
        long asked = time.nanos();
        TaskResult result = call(start.worker(), message);
        StartResult answer = switch (result.result()) {
            case DONE ->
                result.status()
                        .<StartResult>map(StartResult.Done::new)
                        .orElse(new StartResult.Unknown("the answer has no status"));
            case REFUSED -> new StartResult.Refused(result.reason());
            case NOT_HOLDER -> new StartResult.NotHolder();
            case UNKNOWN -> new StartResult.Unknown(result.reason());
        };
        apply(new PlacementEvent.StartReported(start.worker(), start.task(), start.attempt(), asked, answer));
    }

    private void control(WorkerId worker, TaskId task, Attempt attempt, TaskAction action) {
        calls.submit(worker, () -> {
            long asked = time.nanos();
            TaskResult result = call(worker, new ControlTask(worker, task, attempt, action));
            if (action == TaskAction.FORGET) {
                return;
            }
            result.status().ifPresent(status -> apply(new PlacementEvent.TaskReported(worker, status)));
            if (result.result() == CommandResult.REFUSED) {
                StartResult refused = new StartResult.Refused(result.reason());
                apply(new PlacementEvent.StartReported(worker, task, attempt, asked, refused));
            }
        });
    }

    /** Sends a command to the holder of the worker, which may be this daemon. */
    private TaskResult call(WorkerId worker, PeerMessage command) {
        HeldWorker target = workers.get(worker);
        if (target == null) {
            return result(CommandResult.NOT_HOLDER, "no live daemon holds the worker");
        }
        try {
            PeerMessage answer =
                    target.holder().equals(self) ? localCall(command) : peers.call(target.holder(), command, CALL);
            return answer instanceof TaskResult result
                    ? result
                    : result(CommandResult.UNKNOWN, "unexpected answer from " + target.holder());
        } catch (NotRunException e) {
            return result(CommandResult.NOT_HOLDER, e.getMessage());
        } catch (OutcomeUnknownException e) {
            return result(CommandResult.UNKNOWN, e.getMessage());
        }
    }

    private PeerMessage localCall(PeerMessage command) {
        return command instanceof StartTask start ? local.start(start) : local.control((ControlTask) command);
    }

    private ShardTasks fence(DaemonId holder, FenceShard fence) throws NotRunException, OutcomeUnknownException {
        if (holder.equals(self)) {
            return local.fence(fence);
        }
        if (peers.call(holder, fence, FENCE) instanceof ShardTasks tasks) {
            return tasks;
        }
        throw new NotRunException("peer " + holder + " did not fence shard " + fence.shard(), "it is tried again");
    }

    private static TaskResult result(CommandResult result, String reason) {
        return new TaskResult(result, reason, Optional.empty());
    }
}
