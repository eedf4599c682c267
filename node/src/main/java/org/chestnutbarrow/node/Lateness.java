package org.chestnutbarrow.node;

import java.time.Duration;

/**
 * How late the threads of this process run, by how much its own timers overshoot. Written by one thread, read by several.
 */
final class Lateness {
    /** Time between two samples. */
    static final Duration INTERVAL = Duration.ofMillis(100);
    /** Longest lateness that is allowed for, so that a hold still ends before its worker counts as silent (1.3 s). */
    static final Duration MOST = Duration.ofMillis(500);
    /** What is left of a sample after the next one, so that a single one counts for about half a second. */
    private static final double KEPT = 0.75;

    private volatile long nanos;

    /** Takes the time that a pause of {@link #INTERVAL} took. */
    void paused(Duration took) {
        long late = took.minus(INTERVAL).toNanos();
        nanos = Math.max(Math.min(late, MOST.toNanos()), (long) (KEPT * nanos));
    }

    /** The present lateness, from zero to {@link #MOST}. */
    Duration now() {
        return Duration.ofNanos(nanos);
    }
}
