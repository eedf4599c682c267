package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.batch.JobSpec;
import org.chestnutbarrow.batch.JobState;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.NotRunException;

/** What callers can ask of a node. Safe for use by several threads; calls block up to the time that they are given. */
public interface JobService {
    /** What became of a submission or a cancellation. */
    enum Receipt {
        /** Stored. */
        STORED,
        /** Not stored, and never will be. */
        NOT_STORED,
        /** May be stored. */
        UNKNOWN,
        /** There is no such job. */
        NO_JOB
    }

    /** The declarations in force; {@link ControlState#NONE} before the first. */
    ControlState control();

    /** Stores a job; a job with an id that is known is not changed. */
    Receipt submit(JobSpec job, Duration within);

    /** Cancels a job. */
    Receipt cancel(JobId id, Duration within);

    /**
     * Where a job stands; empty if there is no such job. While the store does not answer, a state that is not final may
     * be the last one that was read.
     *
     * @throws NotRunException if the store must be asked first and does not answer within that time
     */
    Optional<JobState> state(JobId id, Duration within) throws NotRunException;

    /**
     * Number of accepted jobs of a queue that have not started, as of a moment less than 2 s ago.
     *
     * @throws NotRunException if the store must be asked first and does not answer within that time
     */
    int pending(String queueKey, Duration within) throws NotRunException;

    /** Counters and histograms in the Prometheus text format. */
    String metrics();

    /** Whether callers should be sent to this node. */
    boolean ready();
}
