package org.chestnutbarrow.model;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/** A record in the platform's log. The order of records decides every race. Immutable. */
public sealed interface LogRecord {
    /**
     * Replaces all declarations. Valid only if {@code baseVersion} is the version in force at its offset.
     *
     * @param id the change's id, unique
     * @param baseVersion version that the operator's change was based on
     * @param author who made it, as told to the loser of a race
     */
    record ConfigChanged(String id, long baseVersion, String author, Declarations declarations) implements LogRecord {}

    /** Takes a zone out or in. Valid only if {@code baseVersion} is the version in force at its offset. */
    record ZoneChanged(String id, long baseVersion, String author, AvailabilityZone zone, ZoneState state)
            implements LogRecord {}

    /** A job was submitted; the first record of a job id counts. */
    record JobAccepted(Job job) implements LogRecord {}

    /** No attempt of these jobs may start any more, and running ones are stopped. */
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

    /** Requests that are about to be sent; the first receipt of a request id counts. */
    record ReceiptsMade(DaemonId daemon, long incarnation, List<Receipt> receipts) implements LogRecord {
        public ReceiptsMade {
            receipts = List.copyOf(receipts);
        }
    }

    /**
     * The whole state up to and including an offset, so that records up to it may expire.
     *
     * @param position offset of the last record that it covers
     * @param state the state as one part encoded it
     */
    record Snapshot(long position, byte[] state) implements LogRecord {}

    /**
     * The end of one attempt.
     *
     * @param checkpoint what the next attempt resumes from
     */
    record TaskEnd(TaskId task, Attempt attempt, TaskState state, Optional<CheckpointId> checkpoint) {}

    /** Proof that a non-idempotent request with this id was taken at that time. */
    record Receipt(String requestId, Instant taken) {}
}
