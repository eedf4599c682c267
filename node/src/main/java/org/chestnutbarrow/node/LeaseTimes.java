package org.chestnutbarrow.node;

import java.time.Duration;

/** Durations of the leases of runs. Stateless. */
final class LeaseTimes {
    /** Lease of the runs on a worker; longer than a change of owner, which takes about 2.5 s. */
    private static final Duration DEFAULT_LEASE = Duration.ofSeconds(4);
    /** The clock of a worker may run up to 2% slow. */
    private static final double MAX_CLOCK_SLOWDOWN = 1.02;
    /** Added to computed expiry times to allow for transmission and timer delays. */
    private static final Duration EXPIRY_MARGIN = Duration.ofMillis(300);

    /** Time after which a call without an answer is not carried out any more. */
    static final Duration MAX_CALL_DELAY = Duration.ofSeconds(12);
    /** Time within which calls that are in flight when their link is closed have been carried out or lost. */
    static final Duration MAX_TRANSMISSION = Duration.ofMillis(500);
    /** Time after the start of an incarnation within which an owner notices it and sends no more calls to the one before. */
    private static final Duration MAX_RESTART_UNNOTICED = Duration.ofSeconds(2);

    private LeaseTimes() {}

    /** Returns the lease that owners request, given the longest lease that workers grant. */
    static Duration requested(Duration max) {
        return DEFAULT_LEASE.compareTo(max) < 0 ? DEFAULT_LEASE : max;
    }

    /** Returns an upper bound on the duration of a lease by any clock. */
    static Duration upperBound(Duration lease) {
        return Duration.ofNanos((long) (lease.toNanos() * MAX_CLOCK_SLOWDOWN)).plus(EXPIRY_MARGIN);
    }

    /**
     * Returns for how long after its start an incarnation may hold leases by calls that were meant for an earlier one.
     * Workers are addressed by their ids, and the expiry times in such calls are far ahead by the clock of the later
     * incarnation, which grants the longest lease.
     */
    static Duration afterRestart(Duration max) {
        return MAX_RESTART_UNNOTICED.plus(MAX_TRANSMISSION).plus(upperBound(max));
    }
}
