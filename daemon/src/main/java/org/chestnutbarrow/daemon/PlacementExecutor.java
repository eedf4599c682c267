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
 * Executes the effects of {@link JobShards}: sends commands to the holders of the workers, appends ends to the log, and
 * claims and fences job shards. Safe for use by several threads; {@link #tick} and the catalog events do not block.
 */
final class PlacementExecutor {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration FENCE_TIMEOUT = Duration.ofSeconds(3);

    private final DaemonId self;
    private final TimeSource time;
    private final JobShards shards;
    private final WorkerTasks localTasks;
    private final PeerLink peerLink;
    private final Supplier<List<HeldWorker>> heldWorkers;
    private final Supplier<Connectivity> connectivity;
    private final WorkerCalls calls;
    private final TaskEndWriter endWriter;
    private final ShardClaims claims;
    private volatile Map<WorkerId, HeldWorker> workersById = Map.of();

    /**
     * Creates an executor that owns no shards; the first {@link #tick} starts to claim them.
     *
     * @param liveDaemons the daemons considered alive, including this one
     * @param heldWorkers all workers whose lease is held by a live daemon
     * @param allWorkers all workers on the host list
     * @param connectivity the current connectivity of this daemon to the configured daemons
     * @param executor runs each task on a separate virtual thread
     */
    PlacementExecutor(
            DaemonId self,
            TimeSource time,
            JobShards shards,
            WorkerTasks localTasks,
            PeerLink peerLink,
            JobLog log,
            Supplier<Collection<DaemonId>> liveDaemons,
            Supplier<List<HeldWorker>> heldWorkers,
            Supplier<Collection<WorkerId>> allWorkers,
            Supplier<Connectivity> connectivity,
            Executor executor) {
        this.self = self;
        this.time = time;
        this.shards = shards;
        this.localTasks = localTasks;
        this.peerLink = peerLink;
        this.heldWorkers = heldWorkers;
        this.connectivity = connectivity;
        calls = new WorkerCalls(executor);
        endWriter = new TaskEndWriter(time, log, executor, this::apply);
        claims = new ShardClaims(
                self,
                time,
                log,
                liveDaemons,
                heldWorkers,
                allWorkers,
                connectivity,
                this::fence,
                executor,
                this::apply);
    }

    /** Advances claims, placement and appends; must be called about every 100 ms, or earlier after a job was added. */
    void tick() {
        List<HeldWorker> currentWorkers = heldWorkers.get();
        Map<WorkerId, HeldWorker> byId = new HashMap<>();
        currentWorkers.forEach(worker -> byId.put(worker.worker().id(), worker));
        workersById = byId;
        List<WorkerFreeCapacity> capacities = currentWorkers.stream()
                .map(worker -> new WorkerFreeCapacity(worker.worker(), worker.free()))
                .toList();
        apply(new PlacementEvent.WorkersChanged(capacities, connectivity.get()));
        claims.tick();
        apply(new PlacementEvent.Tick());
        endWriter.tick();
    }

    /** Called after the catalog has applied the acceptance of a job. */
    void onJobAdded(LoggedJob job) {
        apply(new PlacementEvent.JobAdded(job));
    }

    /** Called after the catalog has applied the cancellation of a job. */
    void onJobCancelled(JobId job) {
        apply(new PlacementEvent.JobCancelled(job));
    }

    /** Called after the catalog has applied a claim of a job shard. */
    void onShardClaimed(int shard, long epoch) {
        claims.claimed(shard, epoch);
    }

    /** Called after the catalog has applied a configuration. */
    void onConfigurationChanged(Configuration configuration) {
        apply(new PlacementEvent.ConfigurationChanged(configuration));
    }

    /** Called when the holder of a worker, this daemon or a peer, reports attempts of shards that this daemon owns. */
    void onTasksChanged(WorkerId worker, List<TaskStatus> tasks) {
        tasks.forEach(status -> apply(new PlacementEvent.TaskReported(worker, status)));
    }

    /** Returns the resources used by attempts of the shards that this daemon owns, by team, for the next heartbeat. */
    Map<String, Resources> teamUsage() {
        return shards.usageByTeam();
    }

    /**
     * Sets the sum of the {@link #teamUsage} that the other daemons last reported.
     *
     * <p>A team may exceed its quota by what all daemons together start for it within one heartbeat interval and its
     * transit time, and by the running attempts that a new owner of a shard adopts.
     */
    void setRemoteTeamUsage(Map<String, Resources> usageByTeam) {
        apply(new PlacementEvent.RemoteUsageReported(usageByTeam));
    }

    /** Explains the state of a job, or returns empty if this daemon does not own it. */
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
                calls.submit(start.worker(), () -> sendStart(start));
            }
            case PlacementEffect.Stop stop -> sendControl(stop.worker(), stop.task(), stop.attempt(), TaskAction.STOP);
            case PlacementEffect.Checkpoint checkpoint ->
                sendControl(checkpoint.worker(), checkpoint.task(), checkpoint.attempt(), TaskAction.CHECKPOINT);
            case PlacementEffect.Forget forget ->
                sendControl(forget.worker(), forget.task(), forget.attempt(), TaskAction.FORGET);
            case PlacementEffect.AppendEnd append -> endWriter.add(append);
            case PlacementEffect.Unplaceable unplaceable
            when unplaceable.reason().isEmpty() -> Events.info("job-placeable", "job", unplaceable.job());
            case PlacementEffect.Unplaceable unplaceable ->
                Events.warn("job-unplaceable", "job", unplaceable.job(), "reason", unplaceable.reason());
        }
    }

    private void logStart(PlacementEffect.Start start) {
        HeldWorker worker = workersById.get(start.worker());
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

    private void sendStart(PlacementEffect.Start start) {
        HeldWorker held = workersById.get(start.worker());
        StartTask command = new StartTask(
                start.worker(),
                held == null ? 0 : held.epoch(),
                start.task(),
                start.workClass(),
                start.shard(),
                start.attempt(),
                start.demand(),
                start.runTime(),
                start.resumeFrom());
        long sentAt = time.nanos();
        TaskResult result = call(start.worker(), command);
        StartResult startResult = switch (result.result()) {
            case DONE ->
                result.status()
                        .<StartResult>map(StartResult.Done::new)
                        .orElse(new StartResult.Unknown("the answer contains no status"));
            case REFUSED -> new StartResult.Refused(result.reason());
            case NOT_HOLDER -> new StartResult.NotHolder();
            case UNKNOWN -> new StartResult.Unknown(result.reason());
        };
        apply(new PlacementEvent.StartReported(start.worker(), start.task(), start.attempt(), sentAt, startResult));
    }

    private void sendControl(WorkerId worker, TaskId task, Attempt attempt, TaskAction action) {
        calls.submit(worker, () -> {
            long sentAt = time.nanos();
            TaskResult result = call(worker, new ControlTask(worker, task, attempt, action));
            if (action == TaskAction.FORGET) {
                return;
            }
            result.status().ifPresent(status -> apply(new PlacementEvent.TaskReported(worker, status)));
            if (result.result() == CommandResult.REFUSED) {
                StartResult refused = new StartResult.Refused(result.reason());
                apply(new PlacementEvent.StartReported(worker, task, attempt, sentAt, refused));
            }
        });
    }

    /** Sends a command to the holder of the worker, which may be this daemon, and waits for the result. */
    private TaskResult call(WorkerId worker, PeerMessage command) {
        HeldWorker target = workersById.get(worker);
        if (target == null) {
            return withoutStatus(CommandResult.NOT_HOLDER, "no live daemon holds the lease of the worker");
        }
        try {
            PeerMessage answer = target.holder().equals(self)
                    ? callLocally(command)
                    : peerLink.call(target.holder(), command, CALL_TIMEOUT);
            return answer instanceof TaskResult result
                    ? result
                    : withoutStatus(CommandResult.UNKNOWN, "unexpected answer from " + target.holder());
        } catch (NotRunException e) {
            return withoutStatus(CommandResult.NOT_HOLDER, e.getMessage());
        } catch (OutcomeUnknownException e) {
            return withoutStatus(CommandResult.UNKNOWN, e.getMessage());
        }
    }

    private PeerMessage callLocally(PeerMessage command) {
        return command instanceof StartTask start ? localTasks.start(start) : localTasks.control((ControlTask) command);
    }

    private ShardTasks fence(DaemonId holder, FenceShard fence) throws NotRunException, OutcomeUnknownException {
        if (holder.equals(self)) {
            return localTasks.fence(fence);
        }
        if (peerLink.call(holder, fence, FENCE_TIMEOUT) instanceof ShardTasks tasks) {
            return tasks;
        }
        throw new NotRunException("peer " + holder + " did not fence shard " + fence.shard(), "the call is repeated");
    }

    private static TaskResult withoutStatus(CommandResult result, String reason) {
        return new TaskResult(result, reason, Optional.empty());
    }
}
