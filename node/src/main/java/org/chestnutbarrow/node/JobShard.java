package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;

/** The jobs of one shard of {@link JobReplica}. Guarded by its own monitor. */
final class JobShard {
    final Map<JobId, JobSpec> specs = new HashMap<>();
    final Set<JobId> cancelled = new HashSet<>();
    final Map<JobId, JobReplica.StoredProgress> progress = new HashMap<>();
    /**
     * Number of pending jobs by queue key; a job is pending while its state is {@link JobState#QUEUED}. Queues
     * without pending jobs have no entry.
     */
    final Map<String, Integer> pendingByQueue = new HashMap<>();

    /** The same by client account; jobs without an account are not counted. */
    final Map<String, Integer> pendingByAccount = new HashMap<>();

    private final TimeSource time;
    /** When this node learnt that a job has ended with all its runs, ns. */
    private final Map<JobId, Long> settledSince = new HashMap<>();
    /** When this node read the removal of a job whose progress is still stored, ns. */
    private final Map<JobId, Long> removedSince = new HashMap<>();
    /** When this node learnt of a cancellation without its job, ns. */
    private final Map<JobId, Long> cancelledUnknownSince = new HashMap<>();

    JobShard(TimeSource time) {
        this.time = time;
    }

    Optional<JobReplica.JobView> view(JobId id) {
        return Optional.ofNullable(specs.get(id))
                .map(spec ->
                        new JobReplica.JobView(spec, cancelled.contains(id), Optional.ofNullable(progress.get(id))));
    }

    /** Applies an update of a job, adjusts the numbers of pending jobs and notes the times of the job's states. */
    synchronized void update(JobId id, Runnable update) {
        adjustPending(id, -1);
        update.run();
        adjustPending(id, 1);
        noteTimes(id);
    }

    /** Removes a job that the store has removed. Called within an update. */
    void removeSpec(JobId id) {
        specs.remove(id);
        if (progress.containsKey(id)) {
            removedSince.putIfAbsent(id, time.nanos());
        }
    }

    private void noteTimes(JobId id) {
        JobReplica.StoredProgress stored = progress.get(id);
        boolean known = specs.containsKey(id);
        noteTime(settledSince, id, stored != null && stored.isSettled());
        noteTime(cancelledUnknownSince, id, cancelled.contains(id) && !known && stored == null);
        if (known || stored == null) {
            removedSince.remove(id);
        }
    }

    private void noteTime(Map<JobId, Long> since, JobId id, boolean holds) {
        if (holds) {
            since.putIfAbsent(id, time.nanos());
        } else {
            since.remove(id);
        }
    }

    /** Adds the times for which jobs have been in the states that allow to remove their records. */
    synchronized void addTimes(
            Map<JobId, Duration> settledFor,
            Map<JobId, Duration> removedFor,
            Map<JobId, Duration> cancelledUnknownFor) {
        long now = time.nanos();
        settledSince.forEach((id, since) -> settledFor.put(id, Duration.ofNanos(now - since)));
        removedSince.forEach((id, since) -> removedFor.put(id, Duration.ofNanos(now - since)));
        cancelledUnknownSince.forEach((id, since) -> cancelledUnknownFor.put(id, Duration.ofNanos(now - since)));
    }

    private void adjustPending(JobId id, int delta) {
        view(id).filter(view -> view.state() == JobState.QUEUED).ifPresent(view -> {
            adjust(pendingByQueue, view.spec().queue().key(), delta);
            if (!view.spec().account().isEmpty()) {
                adjust(pendingByAccount, view.spec().account(), delta);
            }
        });
    }

    private static void adjust(Map<String, Integer> counts, String key, int delta) {
        counts.merge(key, delta, (current, change) -> current + change == 0 ? null : Integer.valueOf(current + change));
    }
}
