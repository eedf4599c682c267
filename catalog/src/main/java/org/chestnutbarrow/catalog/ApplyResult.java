package org.chestnutbarrow.catalog;

import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Configuration;
import org.chestnutbarrow.model.Job;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;

/** The result of applying a log record. Immutable. */
public sealed interface ApplyResult {
    /** The configuration was replaced. */
    record ConfigurationReplaced(Configuration configuration) implements ApplyResult {}

    /** Another change based on the same version took effect first; the configuration is unchanged. */
    record ConfigurationConflict(ConfigChange conflictingChange) implements ApplyResult {}

    /** The job was added. */
    record JobAdded(Job job) implements ApplyResult {}

    /** A job with the same id already exists; it is unchanged. */
    record JobAlreadyExists(Job existing) implements ApplyResult {}

    /** The listed jobs were cancelled. Jobs that are unknown or had already ended are not listed. */
    record JobsCancelled(List<JobId> jobs) implements ApplyResult {
        public JobsCancelled {
            jobs = List.copyOf(jobs);
        }
    }

    /** The claim took effect. */
    record ShardClaimAccepted(int shard, ShardClaim claim) implements ApplyResult {}

    /** The claim has no effect; the holder is empty if the shard was never claimed and the claim skipped an epoch. */
    record ShardClaimRejected(int shard, Optional<ShardClaim> holder) implements ApplyResult {}

    /**
     * The ends of task attempts were recorded.
     *
     * @param ends ends that took effect, without checkpoints that were already used; ends that were already recorded,
     *     outdated or impossible are not listed
     * @param completedJobs jobs whose last task finished with this record
     */
    record TasksRecorded(int shard, List<TaskEnd> ends, List<JobId> completedJobs) implements ApplyResult {
        public TasksRecorded {
            ends = List.copyOf(ends);
            completedJobs = List.copyOf(completedJobs);
        }
    }

    /** The receipts were checked; there is one outcome for each receipt of the record, in the same order. */
    record ReceiptsChecked(List<ReceiptOutcome> outcomes) implements ApplyResult {
        public ReceiptsChecked {
            outcomes = List.copyOf(outcomes);
        }
    }

    /** The log contains a snapshot that covers the records up to the offset. */
    record SnapshotRecorded(long coveredOffset) implements ApplyResult {}

    /** The record had no effect. */
    record NoEffect(String reason) implements ApplyResult {}

    /** Whether the request of a receipt may be sent. */
    sealed interface ReceiptOutcome {
        String requestId();

        /** The receipt is the first one of its id; its daemon may send the request. */
        record Accepted(String requestId) implements ReceiptOutcome {}

        /** There is an earlier receipt of the id. */
        record Duplicate(String requestId, ReceiptState first) implements ReceiptOutcome {}

        /** The time of the id is older than the retention time of receipts, or too far in the future. */
        record OutOfWindow(String requestId) implements ReceiptOutcome {}
    }
}
