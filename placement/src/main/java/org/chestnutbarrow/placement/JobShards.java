package org.chestnutbarrow.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Scheduler of the job shards that this daemon owns: decides when and on which worker each attempt starts. Safe for use
 * by several threads: each job shard has its own lock; the worker index and the quotas have their own locks, which are
 * acquired after it.
 *
 * <p>Invariants: a task has at most one active attempt; a new attempt is issued only after the previous one has ended,
 * is known not to have started, or its lease must have expired; a start without a result is repeated as the same
 * attempt on the same worker; a worker drops an ended attempt only after its end is in the log.
 *
 * <pre>{@code
 * List<PlacementEffect> effects = shards.apply(new PlacementEvent.Tick());
 * }</pre>
 */
public final class JobShards {
    /** Maximum number of attempts issued per tick. */
    private static final int MAX_STARTS_PER_TICK = 512;

    private final JobShard[] shards = new JobShard[Job.SHARDS];
    private final SharedState shared;

    /**
     * Creates the shards, none of which is owned yet.
     *
     * @param penalty score penalty of a worker: 0 without interactive load, about 1 under high load, infinite to
     *     exclude it
     */
    public JobShards(TimeSource time, ToDoubleFunction<WorkerId> penalty) {
        shared = new SharedState(time, new WorkerIndex(penalty), new Quotas(), new RunTimeEstimates());
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new JobShard(i, shared);
        }
    }

    /** Applies an event and returns the resulting effects; only {@link PlacementEvent.Tick} places tasks. */
    public List<PlacementEffect> apply(PlacementEvent event) {
        List<PlacementEffect> effects = new ArrayList<>();
        switch (event) {
            case PlacementEvent.ShardGained gained -> shards[gained.shard()].acquire(gained);
            case PlacementEvent.ShardLost lost -> shards[lost.shard()].release();
            case PlacementEvent.AttemptsListed listed -> shards[listed.shard()].reconcile(listed, effects);
            case PlacementEvent.WorkersFenced fenced ->
                shards[fenced.shard()].completeFencing(fenced.epoch(), fenced.earliestStart(), effects);
            case PlacementEvent.JobAdded added -> shard(added.job().job().id()).addJob(added.job());
            case PlacementEvent.JobCancelled cancelled -> shard(cancelled.job()).cancelJob(cancelled.job());
            case PlacementEvent.TaskReported reported -> {
                JobShard shard = shard(reported.status().task().job());
                TaskStateMachine.StatusSource source =
                        new TaskStateMachine.StatusSource(TaskStateMachine.SourceKind.REPORT, now());
                shard.ifOwned(
                        () -> shard.stateMachine().observe(reported.worker(), reported.status(), source, effects));
            }
            case PlacementEvent.StartReported received -> {
                JobShard shard = shard(received.task().job());
                shard.ifOwned(() -> shard.stateMachine().handleStartResult(received, effects));
            }
            case PlacementEvent.EndsLogged logged -> {
                JobShard shard = shards[logged.shard()];
                shard.ifOwned(() -> shard.stateMachine().endsLogged(logged.ends(), effects));
            }
            case PlacementEvent.ConfigurationChanged changed -> configure(changed, effects);
            case PlacementEvent.WorkersChanged changed -> {
                if (shared.index().update(changed.workers(), changed.connectivity(), now())) {
                    retryUnplaceable(effects);
                }
            }
            case PlacementEvent.RemoteUsageReported usage -> shared.quotas().setRemoteUsage(usage.usageByTeam());
            case PlacementEvent.Tick tick -> tick(effects);
        }
        return effects;
    }

    /** Explains a job; empty if this daemon does not own its shard or the job is finished or unknown. */
    public Optional<JobExplanation> explain(JobId job) {
        return shard(job).explain(job);
    }

    /**
     * Returns the resources used by the tasks of the owned shards, by team; other daemons receive them as {@link
     * PlacementEvent.RemoteUsageReported}.
     */
    public Map<String, Resources> usageByTeam() {
        return shared.quotas().localUsage();
    }

    private void configure(PlacementEvent.ConfigurationChanged changed, List<PlacementEffect> effects) {
        shared.index().configure(changed.configuration(), now());
        shared.quotas().configure(changed.configuration());
        for (JobShard shard : shards) {
            shard.queueEvacuations();
        }
        retryUnplaceable(effects);
    }

    private void retryUnplaceable(List<PlacementEffect> effects) {
        for (JobShard shard : shards) {
            shard.retryUnplaceable(effects);
        }
    }

    private void tick(List<PlacementEffect> effects) {
        long now = now();
        Set<WorkerId> expired = Set.copyOf(shared.index().tick(now));
        for (JobShard shard : shards) {
            shard.tick(now, expired, effects);
        }
        placeTasks(effects);
    }

    /** Places the most urgent jobs of all shards until nothing more fits or the limit per tick is reached. */
    private void placeTasks(List<PlacementEffect> effects) {
        Set<JobEntry.EquivalenceClass> blocked = new HashSet<>();
        PriorityQueue<ShardCandidate> candidates = new PriorityQueue<>(Comparator.comparing(ShardCandidate::queueKey));
        for (JobShard shard : shards) {
            shard.mostUrgentKey(blocked).ifPresent(queueKey -> candidates.add(new ShardCandidate(shard, queueKey)));
        }
        for (int starts = 0; starts < MAX_STARTS_PER_TICK && !candidates.isEmpty(); ) {
            JobShard shard = candidates.poll().shard();
            starts += shard.placeMostUrgent(blocked, effects);
            shard.mostUrgentKey(blocked).ifPresent(queueKey -> candidates.add(new ShardCandidate(shard, queueKey)));
        }
    }

    private record ShardCandidate(JobShard shard, ReadyQueue.QueueKey queueKey) {}

    private JobShard shard(JobId job) {
        return shards[Job.shardOf(job)];
    }

    private long now() {
        return shared.time().nanos();
    }
}
