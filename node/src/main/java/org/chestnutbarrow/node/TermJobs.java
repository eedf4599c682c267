package org.chestnutbarrow.node;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.batch.BatchScheduler;
import org.chestnutbarrow.batch.JobAddition;
import org.chestnutbarrow.batch.JobProgress;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.JobId;

/**
 * Passes the jobs of the replica to the scheduler of one term of ownership, and logs what became of them. Thread-safe.
 *
 * <p>Invariant: a job that causes an unexpected error is left out, so that it does not end the term or a takeover.
 */
final class TermJobs {
    private final long token;
    private final BatchScheduler scheduler;
    private final JobReplica replica;
    private final NodeMetrics metrics;
    /** Ends of jobs that came after the removal of their progress; without them a later owner would run the jobs. */
    private final Map<JobId, JobProgress> endsToStore = new ConcurrentHashMap<>();

    TermJobs(long token, BatchScheduler scheduler, JobReplica replica, NodeMetrics metrics) {
        this.token = token;
        this.scheduler = scheduler;
        this.replica = replica;
        this.metrics = metrics;
    }

    /** Adds all jobs of the replica. */
    void addAll() {
        replica.findAll(_ -> true).forEach(this::add);
    }

    /** Adds a job of the replica, if it exists. */
    void add(JobId id) {
        replica.find(id).ifPresent(this::add);
    }

    private void add(JobReplica.JobView known) {
        try {
            log(known, pass(known));
        } catch (RuntimeException e) {
            setAside(known.spec().id(), e);
        }
    }

    private JobAddition pass(JobReplica.JobView known) {
        return switch (known.progress()) {
            case ProgressReading.None _ -> scheduler.addJob(known.spec(), Optional.empty(), known.cancelled());
            case ProgressReading.Decoded(JobProgress progress) -> {
                if (known.endRemoved()) {
                    endsToStore.put(progress.id(), progress);
                }
                yield scheduler.addJob(known.spec(), Optional.of(progress), known.cancelled());
            }
            case ProgressReading.Unreadable(Exception cause) ->
                scheduler.addUnreadableJob(
                        known.spec(), new IllegalStateException("unreadable progress", cause), known.cancelled());
        };
    }

    /** Logs a job that has run before. A job that has not, or whose end is stored, comes with each submission. */
    private void log(JobReplica.JobView known, JobAddition addition) {
        Optional<JobReplica.StoredProgress> progress = known.storedProgress();
        boolean settled = progress.filter(JobReplica.StoredProgress::isSettled).isPresent();
        boolean ended = addition == JobAddition.ENDED;
        if (ended ? !settled : addition == JobAddition.ADDED && progress.isPresent()) {
            Events.info(
                    "job-added",
                    "job",
                    known.spec().id(),
                    "state",
                    progress.map(p -> p.state().name()).orElse("NONE"),
                    "ended",
                    ended,
                    "token",
                    token);
        }
    }

    /** Records that the scheduler does not place a job because of an unexpected error. */
    void setAside(JobId job, RuntimeException cause) {
        metrics.jobSetAside();
        Events.warn("job-set-aside", "job", job, "token", token, "cause", cause);
    }

    /**
     * Ends jobs whose progress the store refuses for good, and returns the ends to store in its place. An end without
     * tasks is always small; a later owner neither starts the tasks of the job again nor lets its runs go on.
     */
    List<JobProgress> endUnstorable(List<JobProgress> refused, Instant now) {
        List<JobProgress> ends = new ArrayList<>();
        for (JobProgress progress : refused) {
            Events.warn("job-unstorable", "job", progress.id(), "token", token);
            scheduler.failJob(progress.id(), "unstorable");
            JobState end = progress.state().isFinal() ? progress.state() : JobState.FAILED;
            ends.add(new JobProgress(progress.id(), end, now, List.of()));
        }
        return ends;
    }

    /** Takes the ends of jobs that have to be stored again. */
    List<StateStore.Entry> takeEndsToStore() {
        List<StateStore.Entry> entries = new ArrayList<>();
        for (JobId id : List.copyOf(endsToStore.keySet())) {
            entries.add(JobReplica.progressEntry(endsToStore.remove(id)));
        }
        return entries;
    }

    /** Records the ends of jobs among changes that are stored. */
    void changesStored(List<JobProgress> changes) {
        for (JobProgress change : changes) {
            if (change.state().isFinal() && change.steps().isEmpty()) {
                metrics.jobEnded(change.state());
                Events.info("job-ended", "job", change.id(), "state", change.state(), "token", token);
            }
        }
    }

    /** Records that the removal of the progress of jobs is stored. */
    void progressRemoved(List<StateStore.Entry> removals) {
        scheduler.forgetEnded(
                removals.stream().map(entry -> new JobId(entry.key())).toList());
    }
}
