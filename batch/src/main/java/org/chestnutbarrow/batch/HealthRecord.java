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
 * @param failures the latest failure of each of some jobs, oldest first
 * @param quarantinedUntil end of the latest quarantine, if it had not ended
 * @param nextQuarantine duration of the next quarantine
 */
public record HealthRecord(
        TaskRecord.WorkerIncarnation worker,
        List<Failure> failures,
        Optional<Instant> quarantinedUntil,
        Duration nextQuarantine) {
    public HealthRecord {
        failures = List.copyOf(failures);
    }

    /** A failed or stuck run of a job. */
    public record Failure(Instant at, JobId job) {}
}
