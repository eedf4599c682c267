package org.chestnutbarrow.routing;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Latency, concurrency limit and failures of one worker as observed by one class. Not safe for use by several threads;
 * guarded by its shard's lock.
 *
 * <p>The latency estimate is a peak-sensitive moving average: a slower response moves it by a fixed weight of 30%, a
 * faster one with a time constant but by a weight of at least 2%. Without responses it decays towards the typical
 * latency of the class, so that a worker that was slow is tried again.
 */
final class WorkerScore {
    private static final double LATENCY_TIME_CONSTANT_NANOS =
            Duration.ofSeconds(2).toNanos();
    private static final double IDLE_TIME_CONSTANT_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long SLOW_START_NANOS = Duration.ofSeconds(10).toNanos();
    private static final double SLOW_START_MIN_SHARE = 0.1;
    private static final double LIMIT_DECREASE_FACTOR = 0.9;
    private static final double LATENCY_INCREASE_WEIGHT = 0.3;
    private static final int FAILURES_TO_EJECT = 5;
    private static final long EJECTION_NANOS = Duration.ofSeconds(5).toNanos();
    private static final int MAX_EJECTION_FACTOR = 6;

    private final long createdAt;
    private final int slots;
    private double latencyNanos;
    private long lastSampleAt;
    private double concurrencyLimit;
    private int consecutiveFailures;
    private int ejectionFactor;
    private long ejectedUntil;

    /**
     * Creates a score without observations.
     *
     * @param slots maximum number of concurrent requests
     * @param now monotonic nanoseconds
     */
    WorkerScore(int slots, long now) {
        Checks.require(slots > 0, "a worker that takes requests needs slots");
        this.slots = slots;
        this.concurrencyLimit = slots;
        this.createdAt = now;
        this.lastSampleAt = now;
        this.ejectedUntil = now;
    }

    /**
     * Records the latency of a complete response and adapts the concurrency limit: additive increase within the latency
     * bound of the class, multiplicative decrease above it. All times are in nanoseconds.
     */
    void recordSuccess(long nanos, long boundNanos, long now) {
        consecutiveFailures = 0;
        updateLatency(nanos, now);
        if (nanos > boundNanos) {
            concurrencyLimit = Math.max(1, concurrencyLimit * LIMIT_DECREASE_FACTOR);
        } else {
            concurrencyLimit = Math.min(slots, concurrencyLimit + 1 / concurrencyLimit);
        }
    }

    /**
     * Records a failure. It counts as a response at the latency bound, so that a worker that fails fast does not
     * attract requests.
     *
     * @return whether the worker should be ejected
     */
    boolean recordFailure(long boundNanos, long now) {
        consecutiveFailures++;
        updateLatency(boundNanos, now);
        return consecutiveFailures >= FAILURES_TO_EJECT && ejectedUntil - now <= 0;
    }

    /** Ejects the worker for a time that grows with each ejection up to a limit; one more failure ejects it again. */
    void eject(long now) {
        ejectionFactor = Math.min(MAX_EJECTION_FACTOR, ejectionFactor + 1);
        ejectedUntil = now + ejectionFactor * EJECTION_NANOS;
        consecutiveFailures = FAILURES_TO_EJECT - 1;
    }

    boolean ejected(long now) {
        return ejectedUntil - now > 0;
    }

    /** Whether one more request is within the concurrency limit. */
    boolean admits(int inFlight) {
        return inFlight < Math.max(1, Math.floor(concurrencyLimit));
    }

    /**
     * Returns the expected cost of one more request; lower is better.
     *
     * @param inFlight number of requests in flight on the worker
     * @param typicalNanos typical latency of the class in nanoseconds
     */
    double cost(int inFlight, double typicalNanos, long now) {
        double recency = Math.exp(-(now - lastSampleAt) / IDLE_TIME_CONSTANT_NANOS);
        double expectedNanos =
                latencyNanos == 0 ? typicalNanos : typicalNanos + (latencyNanos - typicalNanos) * recency;
        double slowStartProgress = Math.min(1, (double) (now - createdAt) / SLOW_START_NANOS);
        double slowStartWeight = SLOW_START_MIN_SHARE + (1 - SLOW_START_MIN_SHARE) * slowStartProgress;
        return expectedNanos * (inFlight + 1) / slowStartWeight;
    }

    private void updateLatency(long nanos, long now) {
        if (latencyNanos == 0) {
            latencyNanos = nanos;
        } else if (nanos > latencyNanos) {
            latencyNanos += LATENCY_INCREASE_WEIGHT * (nanos - latencyNanos);
        } else {
            double weight = 1 - Math.exp(-(now - lastSampleAt) / LATENCY_TIME_CONSTANT_NANOS);
            latencyNanos += Math.max(weight, 0.02) * (nanos - latencyNanos);
        }
        lastSampleAt = now;
    }
}
