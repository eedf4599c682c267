package org.chestnutbarrow.daemon;

import java.util.List;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.placement.LoggedJob;

/** What {@link JobRunner} needs of the log and the state derived from it. Safe for use by several threads; blocks. */
interface JobLog {
    /** The newest claim of a job shard that this daemon has read. */
    Claim claim(int shard);

    /**
     * Claims the shard with the next epoch and waits until the record has been read back.
     *
     * @return whether the claim stands
     */
    boolean claim(int shard, long epoch) throws NotRunException, OutcomeUnknownException;

    /** All unfinished jobs of the shard as of the present position, at or after its newest claim. */
    List<LoggedJob> jobs(int shard);

    /**
     * Appends ends and returns once they have been read back.
     *
     * @throws NotRunException also if the epoch was superseded, so that readers ignore the ends
     */
    void append(int shard, long epoch, List<TaskEnd> ends) throws NotRunException, OutcomeUnknownException;

    /**
     * A claim as read from the log.
     *
     * @param epoch 0 if the shard was never claimed
     * @param own whether this process made it
     * @param holder name of the daemon that made it; empty if there is none
     * @param readAt monotonic nanoseconds at which this daemon read it
     */
    record Claim(long epoch, boolean own, String holder, long readAt) {}
}
