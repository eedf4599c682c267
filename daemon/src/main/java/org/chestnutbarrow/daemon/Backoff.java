package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.chestnutbarrow.model.Checks;

/** Delays that double with every failure, each drawn from the upper half so that daemons do not retry in step. */
final class Backoff {
    private final Duration first;
    private final Duration longest;
    private final RandomGenerator random;
    private Duration next;

    Backoff(Duration first, Duration longest, RandomGenerator random) {
        Checks.require(first.isPositive() && first.compareTo(longest) <= 0, "delays must be positive and in order");
        this.first = first;
        this.longest = longest;
        this.random = random;
        this.next = first;
    }

    /** The delay after one more failure. */
    Duration failed() {
        long nanos = next.toNanos();
        Duration twice = next.multipliedBy(2);
        next = twice.compareTo(longest) < 0 ? twice : longest;
        return Duration.ofNanos(nanos / 2 + random.nextLong(nanos / 2 + 1));
    }

    /** Starts again with the first delay. */
    void succeeded() {
        next = first;
    }
}
