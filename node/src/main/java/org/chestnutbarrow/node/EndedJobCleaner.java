package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnstorableException;

/**
 * Removes the records of jobs that ended long ago, so that the size of the store and the initial load of a node stay
 * bounded. Safe for use by two threads: one sweeps, the other takes the progress removals that are due.
 *
 * <p>Invariant: the progress of a job is removed no earlier than {@link #PROGRESS_DELAY} after the job itself, and only
 * while this node, which has read that removal, does not know the job, because a job without progress would run again. The
 * times are counted by the node and not by the term, so that a change of the
 * owner does not begin them anew; the wall-clock time at which a job ended is not used, because a wrong clock would
 * remove jobs that callers still query.
 */
final class EndedJobCleaner {
    /** Callers may query a job until 120 s after its end; the rest covers the delay until the end is visible. */
    static final Duration RETENTION = Duration.ofSeconds(150);
    /** Much longer than a takeover, which reads jobs and progress at most a few seconds apart. */
    static final Duration PROGRESS_DELAY = Duration.ofSeconds(30);

    /** Shorter than a term in a series of changes of the owner. */
    private static final Duration FIRST_SWEEP_DELAY = Duration.ofSeconds(1);

    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(10);
    private static final String WRITER = "ended-jobs";
    /** Maximum number of jobs removed with one append. */
    private static final int MAX_JOBS_PER_APPEND = 200;

    private final JobReplica replica;
    private final TimeSource time;
    private final SequencedWriter writer;
    /** Time at which this owner removed a job, ns; accessed only by the sweeping thread. */
    private final Map<JobId, Long> removedAt = new HashMap<>();
    /** Jobs whose progress may be removed. */
    private final Set<JobId> progressToRemove = ConcurrentHashMap.newKeySet();

    EndedJobCleaner(StateStore store, JobReplica replica, TimeSource time, long epoch) {
        this.replica = replica;
        this.time = time;
        this.writer = new SequencedWriter(store, StateStore.Topic.JOBS, WRITER, epoch);
    }

    /** Sweeps periodically while {@code active} is true. */
    void run(BooleanSupplier active) {
        Threads.sleep(FIRST_SWEEP_DELAY);
        while (active.getAsBoolean()) {
            sweep(active);
            Threads.sleep(SWEEP_INTERVAL);
        }
    }

    /** Removes the jobs whose retention time has passed. */
    void sweep(BooleanSupplier active) {
        EndedJobs ended = replica.endedJobs();
        long now = time.nanos();
        removedAt.keySet().retainAll(ended.settledFor().keySet());
        // The removal has not been read, or the job was appended again after it: the job is removed again.
        removedAt
                .entrySet()
                .removeIf(removed -> now - removed.getValue() >= PROGRESS_DELAY.toNanos()
                        && !ended.removedFor().containsKey(removed.getKey()));
        List<JobId> expired = longerThan(RETENTION, ended.settledFor()).stream()
                .filter(id -> !removedAt.containsKey(id) && !ended.removedFor().containsKey(id))
                .toList();
        // Writers stop repeating the append of a job after JobWriter.MAX_REPEAT_TIME, so the job can no longer appear.
        List<JobId> expiredCancellations = longerThan(RETENTION, ended.cancelledUnknownFor());
        try {
            for (List<JobId> jobs : batches(expired)) {
                remove(jobs, active);
                long removed = time.nanos();
                jobs.forEach(id -> removedAt.put(id, removed));
            }
            for (List<JobId> jobs : batches(expiredCancellations)) {
                remove(jobs, active);
            }
        } catch (NotRunException | OutcomeUnknownException | StaleEpochException e) {
            Events.warn("ended-jobs-kept", "jobs", expired.size(), "cause", e.getMessage());
        }
        removedAt.forEach((id, at) -> {
            if (now - at >= PROGRESS_DELAY.toNanos()) {
                progressToRemove.add(id);
            }
        });
        longerThan(PROGRESS_DELAY, ended.removedFor()).stream()
                .filter(ended.settledFor()::containsKey)
                .forEach(progressToRemove::add);
    }

    private static List<JobId> longerThan(Duration min, Map<JobId, Duration> times) {
        return times.entrySet().stream()
                .filter(entry -> entry.getValue().compareTo(min) >= 0)
                .map(Map.Entry::getKey)
                .toList();
    }

    private static List<List<JobId>> batches(List<JobId> jobs) {
        List<List<JobId>> batches = new ArrayList<>();
        for (int i = 0; i < jobs.size(); i += MAX_JOBS_PER_APPEND) {
            batches.add(jobs.subList(i, Math.min(jobs.size(), i + MAX_JOBS_PER_APPEND)));
        }
        return batches;
    }

    private void remove(List<JobId> jobs, BooleanSupplier active)
            throws NotRunException, OutcomeUnknownException, StaleEpochException {
        try {
            writer.append(
                    jobs.stream()
                            .flatMap(id -> JobReplica.removalEntries(id).stream())
                            .toList(),
                    active);
            Events.info("ended-jobs-dropped", "jobs", jobs.size());
        } catch (UnstorableException e) {
            if (jobs.size() == 1) {
                Events.warn("entry-unstorable", "key", jobs.getFirst(), "cause", e.getMessage());
                return;
            }
            for (List<JobId> half : SequencedWriter.halves(jobs)) {
                remove(half, active);
            }
        }
    }

    /** Takes the entries that remove progress; they are to be stored under the owner's epoch. */
    List<StateStore.Entry> takeProgressRemovals() {
        List<StateStore.Entry> entries = new ArrayList<>();
        for (JobId id : List.copyOf(progressToRemove)) {
            progressToRemove.remove(id);
            // A job that was appended again since the sweep is removed again first.
            if (replica.find(id).isEmpty()) {
                entries.add(new StateStore.Entry(id.value(), Optional.empty()));
            }
        }
        return entries;
    }
}
