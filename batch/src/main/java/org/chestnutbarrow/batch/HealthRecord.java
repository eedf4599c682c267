package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.JobId;

/**
 * Persistent health of one worker incarnation. Immutable.
 *
 * @param worker the worker incarnation
 * @param failures the latest failure of each of some jobs, oldest first, as stored by builds without {@code evidence}
 * @param quarantinedUntil end of the latest quarantine, if it had not ended
 * @param nextQuarantine duration of the next quarantine
 * @param evidence evidence that the worker is faulty, see {@link WorkerHealth}; 0 if it is suspected or there is none
 * @param onProbation whether the worker was on probation
 */
public record HealthRecord(
        TaskRecord.WorkerIncarnation worker,
        List<Failure> failures,
        Optional<Instant> quarantinedUntil,
        Duration nextQuarantine,
        double evidence,
        boolean onProbation) {
    public HealthRecord {
        failures = List.copyOf(failures);
    }

    /** Creates a record as stored by builds without evidence. */
    public HealthRecord(
            TaskRecord.WorkerIncarnation worker,
            List<Failure> failures,
            Optional<Instant> quarantinedUntil,
            Duration nextQuarantine) {
        this(worker, failures, quarantinedUntil, nextQuarantine, 0, false);
    }

    /** Returns this record with what builds with evidence store. */
    public HealthRecord with(double newEvidence, boolean newOnProbation) {
        return new HealthRecord(worker, failures, quarantinedUntil, nextQuarantine, newEvidence, newOnProbation);
    }

    /** A failed or stuck run of a job. */
    public record Failure(Instant at, JobId job) {}
}
