package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter. The upper bound doubles with each consecutive failure, and each delay is drawn
 * uniformly between zero and that bound, so that nodes that failed at the same time do not retry at the same time.
 * Thread-safe.
 */
final class Backoff {
    /** Upper bound of the first delay. */
    private static final Duration INITIAL_BOUND = Duration.ofMillis(150);
    /** Upper bound of all delays; equals the maximum staleness of the data that callers are served. */
    private static final Duration MAX_BOUND = Duration.ofSeconds(2);

    private final RandomGenerator random;
    /** Upper bound of the next delay in nanoseconds; guarded by this. */
    private long boundNanos = INITIAL_BOUND.toNanos();

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** Records a failure and returns the delay before the next attempt, at most {@code maxDelay}. */
    synchronized Duration nextDelay(Duration maxDelay) {
        long currentBound = Math.min(boundNanos, maxDelay.toNanos());
        boundNanos = Math.min(2 * boundNanos, MAX_BOUND.toNanos());
        return Duration.ofNanos(random.nextLong(currentBound + 1));
    }

    /** Records a success; the next failure starts from the initial bound. */
    synchronized void reset() {
        boundNanos = INITIAL_BOUND.toNanos();
    }
}
