package org.chestnutbarrow.model;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** A record in the platform's log. Conflicting records are resolved by their order in the log. Immutable. */
public sealed interface LogRecord {
    /**
     * Replaces all declarations. Valid only if {@code baseVersion} is the configuration version that results from the
     * preceding records.
     *
     * @param id unique id of the change
     * @param baseVersion version that the operator's change was based on
     * @param author author of the change, reported to authors of conflicting changes
     */
    record ConfigChanged(String id, long baseVersion, String author, Declarations declarations) implements LogRecord {}

    /**
     * Changes the state of a zone. Valid only if {@code baseVersion} is the configuration version that results from the
     * preceding records.
     */
    record ZoneChanged(String id, long baseVersion, String author, AvailabilityZone zone, ZoneState state)
            implements LogRecord {}

    /** A job was submitted; only the first record with a job id takes effect. */
    record JobAccepted(Job job) implements LogRecord {}

    /** Cancels jobs: no further attempts start, and running ones are stopped. */
    record JobsCancelled(List<JobId> jobs) implements LogRecord {
        public JobsCancelled {
            jobs = List.copyOf(jobs);
        }
    }

    /** Claims a job shard. Valid only if {@code epoch} is one above the shard's epoch at its offset. */
    record ShardClaimed(int shard, long epoch, DaemonId daemon, long incarnation) implements LogRecord {}

    /** Attempts that ended, reported by the shard's owner. Ignored if {@code epoch} is not the shard's epoch. */
    record TasksEnded(int shard, long epoch, List<TaskEnd> ends) implements LogRecord {
        public TasksEnded {
            ends = List.copyOf(ends);
        }
    }

    /** Receipts of non-idempotent requests; only the first receipt with a request id takes effect. */
    record ReceiptsMade(DaemonId daemon, long incarnation, List<Receipt> receipts) implements LogRecord {
        public ReceiptsMade {
            receipts = List.copyOf(receipts);
        }
    }

    /**
     * The complete state up to and including an offset; earlier records may expire.
     *
     * @param position offset of the last record that is included
     * @param state encoded state
     */
    record Snapshot(long position, byte[] state) implements LogRecord {}

    /**
     * The end of one attempt.
     *
     * @param checkpoint checkpoint from which the next attempt resumes
     */
    record TaskEnd(TaskId task, Attempt attempt, TaskState state, Optional<CheckpointId> checkpoint) {}

    /**
     * Deduplication record of a non-idempotent request, written before the request is sent to an endpoint.
     *
     * @param taken time at which the request id was created
     */
    record Receipt(String requestId, Instant taken) {}
}
