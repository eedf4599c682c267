package org.chestnutbarrow.node;

import java.time.Duration;

/**
 * Enforces a minimum time between the starts of two plans, so that under load one plan, with one append to the store,
 * covers the reports of several workers. After an idle period a plan is made at once. Used by one thread.
 */
final class PlanRateLimiter {
    /** Minimum time between two starts; an append takes about 4 ms, and tasks are to start within about 300 ms. */
    static final Duration MIN_INTERVAL = Duration.ofMillis(15);

    private long startedAt;
    private boolean started;

    /** Returns how long the next plan has to wait at {@code now}, ns; zero or negative if it can be made now. */
    Duration delay(long now) {
        return started ? MIN_INTERVAL.minusNanos(now - startedAt) : Duration.ZERO;
    }

    /** Records the start of a plan at {@code now}, ns. */
    void planStarted(long now) {
        startedAt = now;
        started = true;
    }
}
