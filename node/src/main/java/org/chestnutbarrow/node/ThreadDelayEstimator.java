package org.chestnutbarrow.node;

import java.time.Duration;

/**
 * Estimates by how much threads of this process are delayed, from the overshoot of its own timers. Written by one
 * thread, read by several.
 */
final class ThreadDelayEstimator {
    /** Time between two samples. */
    static final Duration SAMPLE_INTERVAL = Duration.ofMillis(100);
    /** Upper bound of the estimate, so that a hold still ends before its worker counts as unreachable (1.3 s). */
    static final Duration MAX_DELAY = Duration.ofMillis(500);
    /** Decay of the estimate with each sample; a single outlier has an effect for about half a second. */
    private static final double DECAY = 0.75;

    private volatile long estimateNanos;

    /** Records how long a sleep of {@link #SAMPLE_INTERVAL} actually took. */
    void record(Duration elapsed) {
        long delayNanos = elapsed.minus(SAMPLE_INTERVAL).toNanos();
        estimateNanos = Math.max(Math.min(delayNanos, MAX_DELAY.toNanos()), (long) (DECAY * estimateNanos));
    }

    /** Returns the current estimate, from zero to {@link #MAX_DELAY}. */
    Duration current() {
        return Duration.ofNanos(estimateNanos);
    }
}
