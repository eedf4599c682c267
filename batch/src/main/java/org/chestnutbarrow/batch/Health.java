package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import org.chestnutbarrow.model.JobId;

/**
 * Decides when a worker that fails what it runs gets no new tasks. Failures of one job alone do not count against a
 * worker, because the job itself may be at fault. Guarded by the lock of its {@link Cell}.
 */
final class Health {
    /** Failures older than this no longer count; a bad worker fails tasks within their run times of 1 to 5 s. */
    private static final Duration WINDOW = Duration.ofSeconds(5);
    /** Jobs that must have failed on the worker before it is avoided. */
    private static final int JOBS = 2;
    /** How long a bad worker is avoided at first; doubled each time up to the longest. */
    private static final Duration AVOID = Duration.ofSeconds(4);

    private static final Duration LONGEST_AVOID = Duration.ofSeconds(16);

    private record Failure(long at, JobId job) {}

    private final Deque<Failure> failures = new ArrayDeque<>();
    private long avoidedUntil;
    private boolean avoided;
    private Duration next = AVOID;

    /** Counts a failed or stuck run; returns whether the worker is avoided from now on. */
    boolean failed(long now, JobId job) {
        failures.addLast(new Failure(now, job));
        while (now - failures.peekFirst().at() > WINDOW.toNanos()) {
            failures.removeFirst();
        }
        Set<JobId> jobs = new HashSet<>();
        failures.forEach(f -> jobs.add(f.job()));
        if (jobs.size() < JOBS || !usable(now)) {
            return false;
        }
        avoided = true;
        avoidedUntil = now + next.toNanos();
        next = next.multipliedBy(2).compareTo(LONGEST_AVOID) > 0 ? LONGEST_AVOID : next.multipliedBy(2);
        failures.clear();
        return true;
    }

    /** Forgets failures, because a run finished. */
    void finished(long now) {
        failures.clear();
        if (usable(now)) {
            next = AVOID;
        }
    }

    boolean usable(long now) {
        return !avoided || now - avoidedUntil >= 0;
    }
}
