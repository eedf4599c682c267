package org.chestnutbarrow.placement;

import java.time.Duration;

/**
 * Decides when the task leases at a worker that no reachable daemon reports as held must have expired. An unreachable
 * daemon may still hold the worker and renew its task leases. Safe for use by several threads; guarded by its own
 * monitor.
 *
 * <p>With {@link Connectivity#ALL} no unreachable daemon can hold the worker, so only the task lease has to expire.
 * With {@link Connectivity#MAJORITY} an unreachable holder stops the attempts of an owner that has not answered its
 * heartbeats for 8 s. It may keep them running only if a majority of the daemons has not heard the owner for 5 s, and
 * then the owner has no majority.
 *
 * <pre>{@code
 * rule.sample(connectivity, now);
 * boolean expired = rule.expired(unheldSince, now);
 * }</pre>
 */
public final class LeaseExpiryRule {
    /** The task lease of 3.5 s plus 10% for clock drift, and 0.5 s for the next heartbeat. */
    static final long FULL_CONNECTIVITY_NANOS =
            Timing.LEASE_EXPIRY_NANOS + Duration.ofMillis(500).toNanos();

    /**
     * The 8.5 s after which the first holder stops, the 4.5 s of a holder that takes over from it and the task lease of
     * 3.5 s, each plus 10% for clock drift, rounded up.
     */
    static final long MAJORITY_CONNECTIVITY_NANOS = Duration.ofSeconds(20).toNanos();

    /** Connectivity is unknown between two samples that are further apart, so a longer gap restarts both clocks. */
    private static final long MAX_SAMPLE_GAP_NANOS = Duration.ofMillis(500).toNanos();

    private boolean sampled;
    private long lastSampleAt;
    private Connectivity connectivity = Connectivity.MINORITY;
    private long fullSince;
    private long majoritySince;

    /** Records the connectivity at a monotonic time in nanoseconds. */
    public synchronized void sample(Connectivity current, long now) {
        boolean gap = !sampled || now - lastSampleAt > MAX_SAMPLE_GAP_NANOS;
        if (gap || connectivity != Connectivity.ALL) {
            fullSince = now;
        }
        if (gap || connectivity == Connectivity.MINORITY) {
            majoritySince = now;
        }
        sampled = true;
        lastSampleAt = now;
        connectivity = current;
    }

    /** Whether all task leases at a worker that was last reported as held at {@code unheldSince} have expired. */
    public synchronized boolean expired(long unheldSince, long now) {
        if (!sampled || now - lastSampleAt > MAX_SAMPLE_GAP_NANOS) {
            return false;
        }
        return switch (connectivity) {
            case ALL ->
                elapsed(unheldSince, fullSince, now, FULL_CONNECTIVITY_NANOS)
                        || elapsed(unheldSince, majoritySince, now, MAJORITY_CONNECTIVITY_NANOS);
            case MAJORITY -> elapsed(unheldSince, majoritySince, now, MAJORITY_CONNECTIVITY_NANOS);
            case MINORITY -> false;
        };
    }

    private static boolean elapsed(long unheldSince, long connectivitySince, long now, long required) {
        return now - unheldSince >= required && now - connectivitySince >= required;
    }
}
