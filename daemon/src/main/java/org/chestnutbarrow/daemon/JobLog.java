package org.chestnutbarrow.daemon;

import java.util.List;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.placement.LoggedJob;

/**
 * The operations of {@link PlacementExecutor} on the log and the state derived from it. Implementations are safe for
 * use by several threads; methods may block.
 */
interface JobLog {
    /** Returns the newest claim of a job shard that this daemon has read. */
    Claim latestClaim(int shard);

    /**
     * Appends a claim of the shard with the given epoch and waits until the record has been read back.
     *
     * @return whether the claim was accepted
     */
    boolean tryClaim(int shard, long epoch) throws NotRunException, OutcomeUnknownException;

    /** Returns all unfinished jobs of the shard at the current log position, which includes its newest claim. */
    List<LoggedJob> unfinishedJobs(int shard);

    /**
     * Appends ends of attempts and waits until they have been read back.
     *
     * @throws NotRunException if the ends were not appended, or if readers ignore them because the epoch was superseded
     */
    void appendEnds(int shard, long epoch, List<TaskEnd> ends) throws NotRunException, OutcomeUnknownException;

    /**
     * A claim of a job shard as read from the log.
     *
     * @param epoch the epoch of the claim; 0 if the shard was never claimed
     * @param own whether this process made the claim
     * @param owner the name of the daemon that made the claim; empty if there is none
     * @param readAt the time at which this daemon read the claim, in monotonic nanoseconds
     */
    record Claim(long epoch, boolean own, String owner, long readAt) {}
}
