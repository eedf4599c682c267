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
 * The jobs of one shard and its claim. Safe for use by several threads; every access is under the shard's own lock.
 * Jobs are immutable and replaced as a whole, so that a copy of the shard takes one reference for each job.
 */
final class JobShard {
    /** How long an ended job stays known after its end, so that submitting it again changes nothing. */
    static final Duration ENDED_RETENTION = Duration.ofHours(1);

    /** Ended jobs kept in each shard, 4096 in all: more than an hour of jobs at 59,000 a day. */
    static final int MAX_ENDED_JOBS = 64;

    private final int index;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<JobId, JobState> jobs = new LinkedHashMap<>();
    /** Ids and end times of ended jobs in the order in which they ended. */
    private final Map<JobId, Instant> ended = new LinkedHashMap<>();

    private Optional<ShardClaim> claim = Optional.empty();

    JobShard(int number) {
        this.index = number;
    }

    ApplyResult add(long offset, Job job, Instant now) {
        lock.lock();
        try {
            removeExpired(now);
            JobState known = jobs.get(job.id());
            if (known != null) {
                return new ApplyResult.JobAlreadyExists(known.job());
            }
            jobs.put(job.id(), JobState.accepted(job, offset));
            return new ApplyResult.JobAdded(job);
        } finally {
            lock.unlock();
        }
    }

    /** Cancels a job; returns whether it was neither cancelled nor complete before. */
    boolean cancel(JobId id, Instant now) {
        lock.lock();
        try {
            JobState known = jobs.get(id);
            if (known == null || known.ended().isPresent()) {
                return false;
            }
            replace(known.withCancellation(now), now);
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
                return new ApplyResult.ShardClaimRejected(index, claim);
            }
            ShardClaim next = new ShardClaim(record.epoch(), record.daemon(), record.incarnation(), offset);
            claim = Optional.of(next);
            return new ApplyResult.ShardClaimAccepted(index, next);
        } finally {
            lock.unlock();
        }
    }

    ApplyResult recordEnds(TasksEnded record, Instant now) {
        lock.lock();
        try {
            long epoch = claim.map(ShardClaim::epoch).orElse(0L);
            if (record.epoch() != epoch) {
                return new ApplyResult.NoEffect("shard " + index + " is at epoch " + epoch);
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
            return new ApplyResult.TasksRecorded(index, effective, completed);
        } finally {
            lock.unlock();
        }
    }

    private void recordJobEnds(
            JobId id, List<TaskEnd> ends, Instant now, List<TaskEnd> effective, List<JobId> completed) {
        JobState known = jobs.get(id);
        if (known == null || known.allTasksFinished()) {
            return;
        }
        BitSet finished = known.finished().bits();
        SortedMap<Integer, TaskProgress> unfinished = new TreeMap<>(known.unfinished());
        int before = effective.size();
        for (TaskEnd end : ends) {
            int index = end.task().index();
            TaskProgress progress = unfinished.get(index);
            boolean late = progress != null && progress.attempt().compareTo(end.attempt()) >= 0;
            if (index >= known.job().tasks() || finished.get(index) || late) {
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
        if (effective.size() == before) {
            return;
        }
        Optional<Instant> time = known.ended();
        if (finished.cardinality() == known.job().tasks()) {
            completed.add(id);
            time = time.or(() -> Optional.of(now));
        }
        TaskSet set = new TaskSet(finished);
        replace(new JobState(known.job(), known.offset(), known.cancelled(), set, unfinished, time), now);
    }

    private void replace(JobState next, Instant now) {
        jobs.put(next.job().id(), next);
        next.ended().ifPresent(time -> ended.putIfAbsent(next.job().id(), time));
        removeExpired(now);
    }

    private void removeExpired(Instant now) {
        var oldest = ended.entrySet().iterator();
        while (oldest.hasNext()) {
            var entry = oldest.next();
            if (ended.size() <= MAX_ENDED_JOBS
                    && !entry.getValue().plus(ENDED_RETENTION).isBefore(now)) {
                return;
            }
            jobs.remove(entry.getKey());
            oldest.remove();
        }
    }

    Optional<JobState> job(JobId id) {
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
                Optional.ofNullable(jobs.get(id)).flatMap(JobState::ended).ifPresent(time -> ended.put(id, time));
            }
        } finally {
            lock.unlock();
        }
    }
}
