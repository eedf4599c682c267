package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;

/** Run time estimates by work class, as exponential moving averages. Safe for use by several threads. */
final class RunTimeEstimates {
    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.1;

    private final ConcurrentHashMap<String, Double> estimates = new ConcurrentHashMap<>();

    void recordRunTime(String workClass, long measuredNanos) {
        estimates.merge(
                workClass,
                (double) measuredNanos,
                (estimate, measured) -> estimate + NEWEST_WEIGHT * (measured - estimate));
    }

    /** Returns the estimate in nanoseconds, or the declared run time if no task of the class has been measured. */
    double estimate(String workClass, Duration declared) {
        return estimates.getOrDefault(workClass, (double) declared.toNanos());
    }
}
