package org.chestnutbarrow.placement;

import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;

/** Run times learnt per class as a moving average. Safe for use by several threads. */
final class RunTimes {
    /** Weight of the newest measurement. */
    private static final double WEIGHT = 0.1;

    private final ConcurrentHashMap<String, Double> nanos = new ConcurrentHashMap<>();

    void learn(String workClass, long measuredNanos) {
        nanos.merge(workClass, (double) measuredNanos, (old, now) -> old + WEIGHT * (now - old));
    }

    /** The estimate in nanoseconds; the declared time until something of the class has run. */
    double estimate(String workClass, Duration declared) {
        return nanos.getOrDefault(workClass, (double) declared.toNanos());
    }
}
