package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;

/**
 * The operations that a node offers to its callers. Implementations are thread-safe; calls block for at most the given
 * timeout.
 */
public interface JobService {
    /**
     * Size of the largest record of a job that is stored, if the store accepts as much; a larger job is refused with
     * {@link Receipt#TOO_LARGE}.
     */
    int MAX_JOB_BYTES = JobWriter.MAX_ENTRY_BYTES;

    /** Outcome of a submission or a cancellation. */
    enum Receipt {
        /** The entry is stored. */
        STORED,
        /** The entry is not stored and never will be. */
        NOT_STORED,
        /** The entry may or may not be stored. */
        UNKNOWN,
        /** The job is larger than the store accepts; nothing is stored. */
        TOO_LARGE,
        /** The store refuses the entry for good; nothing is stored. */
        UNSTORABLE,
        /** The job does not exist; should it be stored later, it does not run. */
        NO_JOB
    }

    /** Returns the current declarations, or {@link ControlState#NONE} before any have been read. */
    ControlState control();

    /** Stores a job; an existing job with the same id is left unchanged. */
    Receipt submit(JobSpec job, Duration timeout);

    /** Cancels a job. */
    Receipt cancel(JobId id, Duration timeout);

    /**
     * Returns the state of a job, or empty if the job does not exist. While the store is unavailable, a state that is
     * not final may be the last one that was read.
     *
     * @throws NotRunException if the store has to be read first and does not answer within the timeout
     */
    Optional<JobState> state(JobId id, Duration timeout) throws NotRunException;

    /**
     * Returns the number of accepted jobs of a queue that have not started, at most 2 s out of date.
     *
     * @throws NotRunException if the store has to be read first and does not answer within the timeout
     */
    int pendingJobs(String queueKey, Duration timeout) throws NotRunException;

    /** Returns all metrics in the Prometheus text format. */
    String metrics();

    /** Returns whether this node is ready to serve callers. */
    boolean ready();
}
