package org.chestnutbarrow.routing;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * What one class has seen of one worker. Not safe for use by several threads; guarded by its shard's lock.
 *
 * <p>The latency estimate is a peak-sensitive moving average: it follows a slower answer at once and a faster one with a
 * time constant, and it falls back towards the class's usual latency while no answers come, so that a worker that was
 * slow is tried again.
 */
final class WorkerScore {
    private static final double DECAY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double FORGET_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long SLOW_START_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double SLOW_START_FLOOR = 0.1;
    private static final double LIMIT_DECREASE = 0.9;
    private static final double PEAK_WEIGHT = 0.3;
    private static final int FAILURES_TO_EJECT = 5;
    private static final long EJECT_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int MAX_EJECT_FACTOR = 6;

    private final long since;
    private final int slots;
    private double latency;
    private long sampled;
    private double limit;
    private int failures;
    private int ejections;
    private long ejectedUntil;

    /**
     * Starts with no knowledge.
     *
     * @param slots most concurrent requests
     * @param now monotonic nanoseconds
     */
    WorkerScore(int slots, long now) {
        Checks.require(slots > 0, "a worker that takes requests needs slots");
        this.slots = slots;
        this.limit = slots;
        this.since = now;
        this.sampled = now;
        this.ejectedUntil = now;
    }

    /** Takes the latency of a whole answer; {@code bound} is the class's latency bound, all in nanoseconds. */
    void answered(long nanos, long bound, long now) {
        failures = 0;
        sample(nanos, now);
        if (nanos > bound) {
            limit = Math.max(1, limit * LIMIT_DECREASE);
        } else {
            limit = Math.min(slots, limit + 1 / limit);
        }
    }

    /**
     * Takes a failure, which counts as an answer at the latency bound, so that a worker that fails fast does not look
     * idle.
     *
     * @return whether the worker should be ejected
     */
    boolean failed(long bound, long now) {
        failures++;
        sample(bound, now);
        return failures >= FAILURES_TO_EJECT && ejectedUntil - now <= 0;
    }

    /** Leaves the worker out for a while, longer each time. */
    void eject(long now) {
        ejections = Math.min(MAX_EJECT_FACTOR, ejections + 1);
        ejectedUntil = now + ejections * EJECT_NANOS;
        failures = FAILURES_TO_EJECT - 1;
    }

    boolean ejected(long now) {
        return ejectedUntil - now > 0;
    }

    /** Whether one more request is within the concurrency limit. */
    boolean admits(int requests) {
        return requests < Math.max(1, Math.floor(limit));
    }

    /**
     * Expected cost of one more request; lower is better.
     *
     * @param requests requests in flight on the worker
     * @param usual the class's usual latency in nanoseconds
     */
    double cost(int requests, double usual, long now) {
        double idle = Math.exp(-(now - sampled) / FORGET_NANOS);
        double expected = latency == 0 ? usual : usual + (latency - usual) * idle;
        double age = Math.min(1, (double) (now - since) / SLOW_START_NANOS);
        double share = SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * age;
        return expected * (requests + 1) / share;
    }

    private void sample(long nanos, long now) {
        if (latency == 0) {
            latency = nanos;
        } else if (nanos > latency) {
            latency += PEAK_WEIGHT * (nanos - latency);
        } else {
            double weight = 1 - Math.exp(-(now - sampled) / DECAY_NANOS);
            latency += Math.max(weight, 0.02) * (nanos - latency);
        }
        sampled = now;
    }
}
