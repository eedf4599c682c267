package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;

/**
 * The jobs of one shard of {@link JobReplica}. Guarded by its own monitor.
 *
 * <p>Invariant: the progress of a job is never replaced or removed by an entry with a lower offset, and a final state is
 * never replaced by another state, whichever way an entry arrives.
 */
final class JobShard {
    final Map<JobId, JobSpec> specs = new HashMap<>();
    final Set<JobId> cancelled = new HashSet<>();
    final Map<JobId, JobReplica.StoredProgress> progress = new HashMap<>();
    /**
     * Number of pending jobs by queue key; see {@link JobReplica.JobView#isPending}. Queues
     * without pending jobs have no entry.
     */
    final Map<String, Integer> pendingByQueue = new HashMap<>();

    /** The same by client account; jobs without an account are not counted. */
    final Map<String, Integer> pendingByAccount = new HashMap<>();

    /**
     * Time for which the end of a job is remembered after its progress was removed. An append is repeated for {@link
     * JobWriter#MAX_REPEAT_TIME}, and the rest covers a store that carries it out late and a node that was paused.
     */
    static final Duration LATE_ENTRY_TIME = JobWriter.MAX_REPEAT_TIME.multipliedBy(5);

    /** The end of a job whose progress was removed at a time, ns. */
    private record RemovedEnd(JobReplica.StoredProgress end, long removedAt) {}

    private final TimeSource time;
    /** When this node learnt that a job has ended with all its runs, ns. */
    private final Map<JobId, Long> settledSince = new HashMap<>();
    /** When this node read the removal of a job whose progress is still stored, ns. */
    private final Map<JobId, Long> removedSince = new HashMap<>();
    /** Ends of jobs whose progress was removed, oldest first. */
    private final Map<JobId, RemovedEnd> removedEnds = new LinkedHashMap<>();
    /** Jobs that were added again after their removal was read, while their progress is stored. */
    private final Set<JobId> addedAgain = new HashSet<>();
    /** When this node learnt of a cancellation without its job, ns. */
    private final Map<JobId, Long> cancelledUnknownSince = new HashMap<>();

    JobShard(TimeSource time) {
        this.time = time;
    }

    Optional<JobReplica.JobView> view(JobId id) {
        JobReplica.StoredProgress stored = progress.get(id);
        RemovedEnd removed = removedEnds.get(id);
        boolean endRemoved = stored == null && removed != null;
        Optional<JobReplica.StoredProgress> newest = Optional.ofNullable(endRemoved ? removed.end() : stored);
        return Optional.ofNullable(specs.get(id))
                .map(spec -> new JobReplica.JobView(spec, cancelled.contains(id), newest, endRemoved));
    }

    /**
     * Applies an update of a job, which returns whether it has changed something; adjusts the numbers of pending jobs and
     * notes the times of the job's states.
     */
    synchronized boolean update(JobId id, BooleanSupplier update) {
        adjustPending(id, -1);
        boolean changed = update.getAsBoolean();
        adjustPending(id, 1);
        noteTimes(id);
        forgetOldEnds();
        return changed;
    }

    /** Adds a job; returns whether it is new. Called within an update. */
    boolean addSpec(JobSpec job) {
        boolean added = specs.putIfAbsent(job.id(), job) == null;
        if (added && removedSince.containsKey(job.id())) {
            addedAgain.add(job.id());
        }
        return added;
    }

    /** Removes a job that the store has removed. Called within an update. */
    boolean removeSpec(JobId id) {
        boolean removed = specs.remove(id) != null;
        addedAgain.remove(id);
        if (progress.containsKey(id)) {
            removedSince.putIfAbsent(id, time.nanos());
        }
        return removed;
    }

    /** Sets the progress of a job unless what is known is newer. Called within an update. */
    boolean putProgress(JobId id, JobReplica.StoredProgress update) {
        JobReplica.StoredProgress current = progress.get(id);
        if (current != null && !current.permits(update)) {
            return false;
        }
        progress.put(id, update);
        removedEnds.remove(id);
        return true;
    }

    /**
     * Removes all entries of a job whose progress was removed at an offset, unless its progress is newer. The spec of a
     * job is removed from the store before its progress, so a replica whose jobs topic lags must not show the job as queued
     * once the progress is gone. A job that was added again since stays, with its end. Called within an update.
     */
    boolean removeProgress(JobId id, long offset) {
        JobReplica.StoredProgress current = progress.get(id);
        if (current != null && current.offset() > offset) {
            return false;
        }
        progress.remove(id);
        boolean ended = current != null && current.isSettled();
        if (ended) {
            removedEnds.put(id, new RemovedEnd(current, time.nanos()));
        }
        if (!addedAgain.remove(id) || !ended) {
            specs.remove(id);
            cancelled.remove(id);
        }
        return true;
    }

    /** Forgets the ends of jobs for which no late entry can come any more. */
    private void forgetOldEnds() {
        long now = time.nanos();
        Iterator<Map.Entry<JobId, RemovedEnd>> ends = removedEnds.entrySet().iterator();
        while (ends.hasNext()) {
            Map.Entry<JobId, RemovedEnd> end = ends.next();
            if (now - end.getValue().removedAt() < LATE_ENTRY_TIME.toNanos()) {
                return;
            }
            // A job that has come again is shown with its end until the owner has stored it again.
            if (!specs.containsKey(end.getKey())) {
                ends.remove();
            }
        }
    }

    /** Returns the number of jobs whose end is remembered although their progress was removed. */
    synchronized int removedEnds() {
        return removedEnds.size();
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
        view(id).filter(JobReplica.JobView::isPending).ifPresent(view -> {
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
