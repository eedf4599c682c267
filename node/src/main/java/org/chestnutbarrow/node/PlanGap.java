package org.chestnutbarrow.node;

import java.time.Duration;

/**
 * Keeps a time between the begins of two plans, so that under load one plan, and one append, takes what several workers
 * reported. The first plan after a quiet time is made at once. Used by one thread.
 */
final class PlanGap {
    /** Least time between the begins of two plans; an append takes about 4 ms, and starts are due within about 300 ms. */
    static final Duration LEAST = Duration.ofMillis(15);

    private long begunAt;
    private boolean any;

    /** How long the next plan has to wait; zero or less if it can be made now. */
    Duration left(long now) {
        return any ? LEAST.minusNanos(now - begunAt) : Duration.ZERO;
    }

    /** A plan begins. */
    void begin(long now) {
        begunAt = now;
        any = true;
    }
}
