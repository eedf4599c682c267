package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Pauses after failures in a row. The bound of a pause doubles with each failure, and the pause is drawn between zero and
 * its bound, so that nodes that failed together do not try again together. Safe for use by several threads.
 */
final class Backoff {
    /** Bound of the first pause. */
    private static final Duration FIRST = Duration.ofMillis(150);
    /** Bound of all pauses, as long as a copy may be old for callers. */
    private static final Duration LONGEST = Duration.ofSeconds(2);

    private final RandomGenerator random;
    /** Bound of the next pause, ns; guarded by this. */
    private long bound = FIRST.toNanos();

    Backoff(RandomGenerator random) {
        this.random = random;
    }

    /** The pause after one more failure, {@code longest} at most. */
    synchronized Duration failed(Duration longest) {
        long now = Math.min(bound, longest.toNanos());
        bound = Math.min(2 * bound, LONGEST.toNanos());
        return Duration.ofNanos(random.nextLong(now + 1));
    }

    synchronized void succeeded() {
        bound = FIRST.toNanos();
    }
}
