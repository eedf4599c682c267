package org.chestnutbarrow.catalog;

import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;

/** What became of a record when it was applied. Immutable. */
public sealed interface ApplyResult {
    /** The configuration is now this one. */
    record ConfigurationReplaced(Configuration configuration) implements ApplyResult {}

    /** Another change on the same base stands; nothing changed. */
    record ConfigurationConflict(ConfigChange winner) implements ApplyResult {}

    /** The job is new. */
    record JobAdded(Job job) implements ApplyResult {}

    /** A job with this id stands already; nothing changed. */
    record JobAlreadyExists(Job existing) implements ApplyResult {}

    /** These jobs were not cancelled before and are now; unknown and ended jobs are left out. */
    record JobsCancelled(List<JobId> jobs) implements ApplyResult {
        public JobsCancelled {
            jobs = List.copyOf(jobs);
        }
    }

    /** The claim stands. */
    record ShardClaimAccepted(int shard, ShardClaim claim) implements ApplyResult {}

    /** The claim does not stand; the holder is another, or nobody if the claim skipped an epoch. */
    record ShardClaimRejected(int shard, Optional<ShardClaim> holder) implements ApplyResult {}

    /**
     * Ends that took effect; the others were known, older than a known one, or not possible.
     *
     * @param ends the ends, with the checkpoint removed if it was resumed from before
     * @param completed jobs whose last task finished with this record
     */
    record TasksRecorded(int shard, List<TaskEnd> ends, List<JobId> completedJobs) implements ApplyResult {
        public TasksRecorded {
            ends = List.copyOf(ends);
            completedJobs = List.copyOf(completedJobs);
        }
    }

    /** One verdict for each receipt of the record, in its order. */
    record ReceiptsChecked(List<ReceiptOutcome> outcomes) implements ApplyResult {
        public ReceiptsChecked {
            outcomes = List.copyOf(outcomes);
        }
    }

    /** A snapshot that covers the log up to that offset stands in the log. */
    record SnapshotRecorded(long coveredOffset) implements ApplyResult {}

    /** The record had no effect for the reason given. */
    record NoEffect(String reason) implements ApplyResult {}

    /** Whether the request of a receipt may be sent. */
    sealed interface ReceiptOutcome {
        String requestId();

        /** The first receipt of its id; its daemon may send the request. */
        record Accepted(String requestId) implements ReceiptOutcome {}

        /** An earlier receipt of the id stands. */
        record Duplicate(String requestId, ReceiptState first) implements ReceiptOutcome {}

        /** The id is older than receipts are kept, or its time lies too far ahead. */
        record OutOfWindow(String requestId) implements ReceiptOutcome {}
    }
}
