package org.chestnutbarrow.catalog;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.catalog.CatalogState.ShardState;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.ShardClaimed;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.LogRecord.TasksEnded;
import org.chestnutbarrow.model.TaskState;

/**
 * The jobs of one shard and the claim of the shard. Thread-safe; all state is guarded by the lock of the shard. Jobs
 * are immutable and replaced as a whole, so that a copy of the shard only copies one reference per job.
 */
final class CatalogShard {
    /**
     * Maximum time for which an ended job is kept after its end, so that submitting it again has no effect. It is
     * removed earlier if its shard has more than {@link #MAX_ENDED_JOBS} ended jobs.
     */
    static final Duration ENDED_RETENTION = Duration.ofHours(1);

    /** Maximum number of ended jobs kept per shard; 4096 in total, more than an hour of jobs at 59,000 per day. */
    static final int MAX_ENDED_JOBS = 64;

    private final int shardIndex;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<JobId, LoggedJobState> jobs = new LinkedHashMap<>();
    /** Ids and end times of the ended jobs, in the order in which they ended. */
    private final Map<JobId, Instant> ended = new LinkedHashMap<>();

    private Optional<ShardClaim> claim = Optional.empty();

    CatalogShard(int shardIndex) {
        this.shardIndex = shardIndex;
    }

    ApplyResult add(long offset, Job job, Instant now) {
        lock.lock();
        try {
            removeExpired(now);
            LoggedJobState current = jobs.get(job.id());
            if (current != null) {
                return new ApplyResult.JobAlreadyExists(current.job());
            }
            jobs.put(job.id(), LoggedJobState.accepted(job, offset));
            return new ApplyResult.JobAdded(job);
        } finally {
            lock.unlock();
        }
    }

    /** Cancels a job. Returns false if the job is unknown or has already been cancelled or completed. */
    boolean cancel(JobId id, Instant now) {
        lock.lock();
        try {
            LoggedJobState current = jobs.get(id);
            if (current == null || current.ended().isPresent()) {
                return false;
            }
            replace(current.withCancellation(now), now);
            return true;
        } finally {
            lock.unlock();
        }
    }

    ApplyResult claim(long offset, ShardClaimed record) {
        lock.lock();
        try {
            long epoch = claim.map(ShardClaim::epoch).orElse(0L);
            if (record.epoch() != epoch + 1) {
                return new ApplyResult.ShardClaimRejected(shardIndex, claim);
            }
            ShardClaim next = new ShardClaim(record.epoch(), record.daemon(), record.incarnation(), offset);
            claim = Optional.of(next);
            return new ApplyResult.ShardClaimAccepted(shardIndex, next);
        } finally {
            lock.unlock();
        }
    }

    ApplyResult recordEnds(TasksEnded record, Instant now) {
        lock.lock();
        try {
            long epoch = claim.map(ShardClaim::epoch).orElse(0L);
            if (record.epoch() != epoch) {
                return new ApplyResult.NoEffect("shard " + shardIndex + " is at epoch " + epoch);
            }
            Map<JobId, List<TaskEnd>> byJob = new LinkedHashMap<>();
            for (TaskEnd end : record.ends()) {
                if (end.attempt().epoch() <= epoch && end.state().ended()) {
                    byJob.computeIfAbsent(end.task().job(), id -> new ArrayList<>())
                            .add(end);
                }
            }
            List<TaskEnd> effective = new ArrayList<>();
            List<JobId> completed = new ArrayList<>();
            byJob.forEach((id, ends) -> recordJobEnds(id, ends, now, effective, completed));
            return new ApplyResult.TasksRecorded(shardIndex, effective, completed);
        } finally {
            lock.unlock();
        }
    }

    private void recordJobEnds(
            JobId id, List<TaskEnd> ends, Instant now, List<TaskEnd> effective, List<JobId> completed) {
        LoggedJobState current = jobs.get(id);
        if (current == null || current.allTasksFinished()) {
            return;
        }
        BitSet finished = current.finished().bits();
        SortedMap<Integer, TaskProgress> unfinished = new TreeMap<>(current.unfinished());
        int effectiveBefore = effective.size();
        for (TaskEnd end : ends) {
            int index = end.task().index();
            TaskProgress progress = unfinished.get(index);
            boolean outdated = progress != null && progress.attempt().compareTo(end.attempt()) >= 0;
            if (index >= current.job().tasks() || finished.get(index) || outdated) {
                continue;
            }
            if (end.state() == TaskState.FINISHED) {
                finished.set(index);
                unfinished.remove(index);
                effective.add(end);
                continue;
            }
            TaskProgress next = progress == null ? TaskProgress.ofFirstEnd(end) : progress.afterEnd(end);
            unfinished.put(index, next);
            effective.add(new TaskEnd(end.task(), end.attempt(), end.state(), next.resumeFrom()));
        }
        if (effective.size() == effectiveBefore) {
            return;
        }
        Optional<Instant> endTime = current.ended();
        if (finished.cardinality() == current.job().tasks()) {
            completed.add(id);
            endTime = endTime.or(() -> Optional.of(now));
        }
        TaskSet finishedTasks = new TaskSet(finished);
        replace(
                new LoggedJobState(
                        current.job(), current.offset(), current.cancelled(), finishedTasks, unfinished, endTime),
                now);
    }

    private void replace(LoggedJobState next, Instant now) {
        jobs.put(next.job().id(), next);
        next.ended().ifPresent(endTime -> ended.putIfAbsent(next.job().id(), endTime));
        removeExpired(now);
    }

    private void removeExpired(Instant now) {
        var entries = ended.entrySet().iterator();
        while (entries.hasNext()) {
            var entry = entries.next();
            if (ended.size() <= MAX_ENDED_JOBS
                    && !entry.getValue().plus(ENDED_RETENTION).isBefore(now)) {
                return;
            }
            jobs.remove(entry.getKey());
            entries.remove();
        }
    }

    Optional<LoggedJobState> job(JobId id) {
        lock.lock();
        try {
            return Optional.ofNullable(jobs.get(id));
        } finally {
            lock.unlock();
        }
    }

    ShardState snapshot() {
        lock.lock();
        try {
            return new ShardState(claim, List.copyOf(jobs.values()), List.copyOf(ended.keySet()));
        } finally {
            lock.unlock();
        }
    }

    Optional<ShardClaim> claim() {
        lock.lock();
        try {
            return claim;
        } finally {
            lock.unlock();
        }
    }

    void restore(ShardState state) {
        lock.lock();
        try {
            claim = state.claim();
            jobs.clear();
            ended.clear();
            state.jobs().forEach(job -> jobs.put(job.job().id(), job));
            for (JobId id : state.ended()) {
                Optional.ofNullable(jobs.get(id))
                        .flatMap(LoggedJobState::ended)
                        .ifPresent(endTime -> ended.put(id, endTime));
            }
        } finally {
            lock.unlock();
        }
    }
}
