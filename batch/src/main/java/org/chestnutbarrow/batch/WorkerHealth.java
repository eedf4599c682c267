package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.TimeSource;

/**
 * Decides when a worker is quarantined because its runs fail. Failures of one job alone do not count against a worker,
 * because the job itself may be at fault. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariant: stored failures begin no quarantine by themselves, and a stored quarantine lasts for at most
 * {@link #MAX_QUARANTINE} after it is restored, whatever the clocks show.
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
    private boolean changed;

    /** Records a failed or stuck run and returns whether this starts a quarantine. */
    boolean recordFailure(long now, JobId job) {
        changed = true;
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
        nextQuarantine = shorter(nextQuarantine.multipliedBy(2), MAX_QUARANTINE);
        failures.clear();
        return true;
    }

    /** Clears the failures, because a run has finished. */
    void recordSuccess(long now) {
        changed |= !failures.isEmpty();
        failures.clear();
        if (isHealthy(now)) {
            changed |= !nextQuarantine.equals(INITIAL_QUARANTINE);
            nextQuarantine = INITIAL_QUARANTINE;
        }
    }

    boolean isHealthy(long now) {
        return !everQuarantined || now - quarantinedUntil >= 0;
    }

    /** Returns whether the health has changed since the last call. */
    boolean takeChange() {
        boolean result = changed;
        changed = false;
        return result;
    }

    /** Returns what the next owner has to know; empty if it is the same as for a new worker. */
    Optional<HealthRecord> toRecord(TaskRecord.WorkerIncarnation worker, TimeSource time) {
        long now = time.nanos();
        Instant wallTime = time.now();
        // More than one failure of a job, or failures of more jobs, make no difference.
        Map<JobId, Failure> latestByJob = new LinkedHashMap<>();
        for (Failure failure : failures) {
            latestByJob.remove(failure.job());
            latestByJob.put(failure.job(), failure);
        }
        List<HealthRecord.Failure> stored = latestByJob.values().stream()
                .skip(Math.max(0, latestByJob.size() - MIN_FAILED_JOBS))
                .filter(failure -> now - failure.time() <= FAILURE_WINDOW.toNanos())
                .map(failure -> new HealthRecord.Failure(wallTime.minusNanos(now - failure.time()), failure.job()))
                .toList();
        Optional<Instant> until =
                isHealthy(now) ? Optional.empty() : Optional.of(wallTime.plusNanos(quarantinedUntil - now));
        return stored.isEmpty() && until.isEmpty() && nextQuarantine.equals(INITIAL_QUARANTINE)
                ? Optional.empty()
                : Optional.of(new HealthRecord(worker, stored, until, nextQuarantine));
    }

    /**
     * Restores what an earlier owner stored, and returns whether the worker is quarantined. Times that the owner's clock
     * cannot have shown are ignored, because each later owner would read them again.
     */
    boolean restore(HealthRecord stored, TimeSource time) {
        long now = time.nanos();
        Instant wallTime = time.now();
        for (HealthRecord.Failure failure : stored.failures()) {
            Duration age = Duration.between(failure.at(), wallTime);
            if (age.abs().compareTo(FAILURE_WINDOW) <= 0) {
                failures.addLast(new Failure(now - Math.max(0, age.toNanos()), failure.job()));
            }
        }
        nextQuarantine = shorter(longer(stored.nextQuarantine(), INITIAL_QUARANTINE), MAX_QUARANTINE);
        Optional<Duration> left = stored.quarantinedUntil()
                .map(until -> Duration.between(wallTime, until))
                .filter(duration -> duration.isPositive() && duration.compareTo(MAX_QUARANTINE) <= 0);
        left.ifPresent(duration -> {
            everQuarantined = true;
            quarantinedUntil = now + duration.toNanos();
        });
        return left.isPresent();
    }

    private static Duration shorter(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }

    private static Duration longer(Duration a, Duration b) {
        return a.compareTo(b) >= 0 ? a : b;
    }
}
