package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.chestnutbarrow.model.JobId;

/**
 * Decides when a worker is quarantined because its runs fail. Failures of one job alone do not count against a worker,
 * because the job itself may be at fault. Guarded by the lock of its {@link BatchScheduler}.
 */
final class WorkerHealth {
    /** Failures older than this no longer count; a faulty worker fails tasks within their run times of 1 to 5 s. */
    private static final Duration FAILURE_WINDOW = Duration.ofSeconds(5);
    /** Number of distinct jobs that must fail on a worker before it is quarantined. */
    private static final int MIN_FAILED_JOBS = 2;
    /** Duration of the first quarantine, doubled each time up to {@link #MAX_QUARANTINE}. */
    private static final Duration INITIAL_QUARANTINE = Duration.ofSeconds(4);

    private static final Duration MAX_QUARANTINE = Duration.ofSeconds(16);

    private record Failure(long time, JobId job) {}

    private final Deque<Failure> failures = new ArrayDeque<>();
    private long quarantinedUntil;
    private boolean everQuarantined;
    private Duration nextQuarantine = INITIAL_QUARANTINE;

    /** Records a failed or stuck run and returns whether this starts a quarantine. */
    boolean recordFailure(long now, JobId job) {
        failures.addLast(new Failure(now, job));
        while (now - failures.peekFirst().time() > FAILURE_WINDOW.toNanos()) {
            failures.removeFirst();
        }
        Set<JobId> jobs = new HashSet<>();
        failures.forEach(failure -> jobs.add(failure.job()));
        if (jobs.size() < MIN_FAILED_JOBS || !isHealthy(now)) {
            return false;
        }
        everQuarantined = true;
        quarantinedUntil = now + nextQuarantine.toNanos();
        nextQuarantine = nextQuarantine.multipliedBy(2).compareTo(MAX_QUARANTINE) > 0
                ? MAX_QUARANTINE
                : nextQuarantine.multipliedBy(2);
        failures.clear();
        return true;
    }

    /** Clears the failures, because a run has finished. */
    void recordSuccess(long now) {
        failures.clear();
        if (isHealthy(now)) {
            nextQuarantine = INITIAL_QUARANTINE;
        }
    }

    boolean isHealthy(long now) {
        return !everQuarantined || now - quarantinedUntil >= 0;
    }
}
