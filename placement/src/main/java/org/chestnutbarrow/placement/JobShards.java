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
 * The owner's side of all job shards that this daemon owns: which attempt starts where and when. Safe for use by several
 * threads: each job shard has its own lock, and the index of workers and the quotas have theirs, taken after it.
 *
 * <p>Invariants: one attempt of a task at a time; a new one only after the earlier one has ended, never started or must
 * have lapsed; a start without a result is repeated as the same attempt at the same worker; workers drop an end only
 * after the log has it.
 *
 * <pre>{@code
 * List<PlacementEffect> effects = shards.apply(new PlacementEvent.Tick());
 * }</pre>
 */
public final class JobShards {
    /** Most attempts issued per tick. */
    private static final int STARTS = 512;

    private final JobShard[] shards = new JobShard[Job.SHARDS];
    private final Shared shared;

    /**
     * Creates shards of which none is owned.
     *
     * @param penalty how much to avoid a worker: 0 without interactive load, about 1 with much, infinite for never
     */
    public JobShards(TimeSource time, ToDoubleFunction<WorkerId> penalty) {
        shared = new Shared(time, new WorkerIndex(penalty), new Quotas(), new RunTimes());
        for (int i = 0; i < shards.length; i++) {
            shards[i] = new JobShard(i, shared);
        }
    }

    /** Takes an event and returns what is to be done; tasks are placed by {@link PlacementEvent.Tick} only. */
    public List<PlacementEffect> apply(PlacementEvent event) {
        List<PlacementEffect> out = new ArrayList<>();
        switch (event) {
            case PlacementEvent.ShardGained gained -> shards[gained.shard()].gained(gained);
            case PlacementEvent.ShardLost lost -> shards[lost.shard()].lost();
            case PlacementEvent.AttemptsFound found -> shards[found.shard()].found(found, out);
            case PlacementEvent.WorkersFenced done -> shards[done.shard()].fenced(done.epoch(), done.startsFrom(), out);
            case PlacementEvent.JobAdded added -> shard(added.job().job().id()).add(added.job());
            case PlacementEvent.JobCancelled cancelled -> shard(cancelled.job()).cancel(cancelled.job());
            case PlacementEvent.TaskChanged changed -> {
                JobShard shard = shard(changed.status().task().job());
                TaskMachine.Source source = new TaskMachine.Source(TaskMachine.Kind.REPORT, now());
                shard.owned(() -> shard.machine().observe(changed.worker(), changed.status(), source, out));
            }
            case PlacementEvent.StartAnswered answer -> {
                JobShard shard = shard(answer.task().job());
                shard.owned(() -> shard.machine().answered(answer, out));
            }
            case PlacementEvent.EndsLogged logged -> {
                JobShard shard = shards[logged.shard()];
                shard.owned(() -> shard.machine().logged(logged.ends(), out));
            }
            case PlacementEvent.ConfigurationChanged changed -> configure(changed, out);
            case PlacementEvent.WorkersChanged changed -> {
                if (shared.index().update(changed.workers(), changed.contact(), now())) {
                    recheck(out);
                }
            }
            case PlacementEvent.UseElsewhere use -> shared.quotas().elsewhere(use.use());
            case PlacementEvent.Tick tick -> tick(out);
        }
        return out;
    }

    /** Explains a job; empty if its shard is not owned here or the job is finished or unknown. */
    public Optional<JobExplanation> explain(JobId job) {
        return shard(job).explain(job);
    }

    /** What the tasks of the shards owned here use, by team; other daemons take it as {@code UseElsewhere}. */
    public Map<String, Resources> use() {
        return shared.quotas().used();
    }

    private void configure(PlacementEvent.ConfigurationChanged changed, List<PlacementEffect> out) {
        shared.index().configure(changed.configuration(), now());
        shared.quotas().configure(changed.configuration());
        for (JobShard shard : shards) {
            shard.zonesChanged();
        }
        recheck(out);
    }

    private void recheck(List<PlacementEffect> out) {
        for (JobShard shard : shards) {
            shard.recheck(out);
        }
    }

    private void tick(List<PlacementEffect> out) {
        long now = now();
        Set<WorkerId> lapsed = Set.copyOf(shared.index().tick(now));
        for (JobShard shard : shards) {
            shard.tick(now, lapsed, out);
        }
        place(out);
    }

    /** Places the most urgent jobs of all shards until nothing fits or the bound per tick is reached. */
    private void place(List<PlacementEffect> out) {
        Set<JobEntry.Group> blocked = new HashSet<>();
        PriorityQueue<Turn> turns = new PriorityQueue<>(Comparator.comparing(Turn::key));
        for (JobShard shard : shards) {
            shard.urgency(blocked).ifPresent(key -> turns.add(new Turn(shard, key)));
        }
        for (int started = 0; started < STARTS && !turns.isEmpty(); ) {
            JobShard shard = turns.poll().shard();
            started += shard.place(blocked, out);
            shard.urgency(blocked).ifPresent(key -> turns.add(new Turn(shard, key)));
        }
    }

    private record Turn(JobShard shard, ReadyQueue.Key key) {}

    private JobShard shard(JobId job) {
        return shards[Job.shardOf(job)];
    }

    private long now() {
        return shared.time().nanos();
    }
}
