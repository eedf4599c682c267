package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.batch.Queue;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Answers questions about jobs from the copies of a node, which are read again if they are too old. Thread-safe; has no
 * state of its own, and concurrent questions share one read.
 *
 * <p>Invariant: no answer comes from copies older than {@link #MAX_COPY_AGE} while the store answers.
 */
final class JobAnswers {
    /** Callers are promised 2 s, part of which is network latency. */
    static final Duration MAX_COPY_AGE = Duration.ofMillis(1500);
    /** A read more often than this would cost more than callers gain, who ask every few hundred milliseconds. */
    private static final Duration MIN_STATE_AGE = Duration.ofMillis(100);
    /** Time to wait for a copy that is more recent than promised; the store answers within some milliseconds. */
    private static final Duration MAX_EXTRA_WAIT = Duration.ofMillis(250);

    private final JobReplica replica;
    private final TopicFollower jobs;
    private final TopicFollower progress;
    private final TimeSource time;

    JobAnswers(JobReplica replica, TopicFollower jobs, TopicFollower progress, TimeSource time) {
        this.replica = replica;
        this.jobs = jobs;
        this.progress = progress;
        this.time = time;
    }

    /** Finds a job; reads the store if it is unknown here, since another node may just have accepted it. */
    Optional<JobReplica.JobView> find(JobId id, Duration timeout) throws NotRunException {
        Optional<JobReplica.JobView> known = replica.find(id);
        if (known.isPresent()) {
            return known;
        }
        jobs.refresh(Duration.ZERO, timeout);
        return replica.find(id);
    }

    /** Returns the state of a job, see {@link JobService#state}. */
    Optional<JobState> state(JobId id, Duration timeout) throws NotRunException {
        long start = time.nanos();
        Optional<JobReplica.JobView> known = find(id, timeout);
        if (known.isEmpty() || known.get().hasStoredFinalState()) {
            return known.map(JobReplica.JobView::state);
        }
        try {
            refreshProgress(known.get().spec().queue(), remaining(start, timeout));
            refresh(remaining(start, timeout));
        } catch (NotRunException e) {
            // The state read last is one that the job has been in; callers of a cancellation wait for a later one.
            if (!progress.loaded() || known.get().cancelled()) {
                throw e;
            }
        }
        return replica.find(id).map(JobReplica.JobView::state);
    }

    /** Returns the number of pending jobs, see {@link JobService#pendingJobs}. */
    int pendingJobs(String queueKey, Duration timeout) throws NotRunException {
        refresh(timeout);
        return replica.pendingJobs(queueKey);
    }

    /**
     * Reads the progress again if that shows the end of a job to its caller noticeably sooner. A store that does not
     * answer soon only costs the wait.
     */
    private void refreshProgress(Queue queue, Duration timeout) {
        try {
            progress.refresh(stateAge(queue), shorter(MAX_EXTRA_WAIT, timeout));
        } catch (NotRunException e) {
            // An answer from the copy is as recent as promised, or the next read fails as well.
        }
    }

    /** Half of the time that the queue allows in addition to run times, of which callers notice the delay of an answer. */
    static Duration stateAge(Queue queue) {
        Duration age = shorter(queue.allowance().dividedBy(2), MAX_COPY_AGE);
        return age.compareTo(MIN_STATE_AGE) > 0 ? age : MIN_STATE_AGE;
    }

    private void refresh(Duration timeout) throws NotRunException {
        long start = time.nanos();
        jobs.refresh(MAX_COPY_AGE, timeout);
        progress.refresh(MAX_COPY_AGE, remaining(start, timeout));
    }

    private Duration remaining(long start, Duration timeout) {
        return timeout.minusNanos(time.nanos() - start);
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
