package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.model.Checks;

/**
 * Exponential backoff with jitter. The delay doubles with each failure, and each delay is drawn from the upper half of
 * its range so that daemons do not retry in step. Used by one thread.
 */
final class Backoff {
    private final Duration initial;
    private final Duration max;
    private final RandomGenerator random;
    private Duration current;

    Backoff(Duration initial, Duration max, RandomGenerator random) {
        Checks.require(
                initial.isPositive() && initial.compareTo(max) <= 0,
                "the initial delay must be positive and at most the maximum");
        this.initial = initial;
        this.max = max;
        this.random = random;
        this.current = initial;
    }

    /** Returns the delay before the next retry after a failure. */
    Duration nextDelay() {
        long nanos = current.toNanos();
        Duration doubled = current.multipliedBy(2);
        current = doubled.compareTo(max) < 0 ? doubled : max;
        return Duration.ofNanos(nanos / 2 + random.nextLong(nanos / 2 + 1));
    }

    /** Resets the delay to its initial value after a success. */
    void reset() {
        current = initial;
    }
}
