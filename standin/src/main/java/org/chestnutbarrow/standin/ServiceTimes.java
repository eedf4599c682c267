package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.chestnutbarrow.model.Checks;

/**
 * Distribution of the service times of requests. Immutable.
 *
 * @param byClass base service time by class
 * @param defaultTime base service time of all other classes
 */
public record ServiceTimes(Map<String, Duration> byClass, Duration defaultTime) {
    /** Base service time of 10 ms for every class. */
    public static final ServiceTimes DEFAULT = new ServiceTimes(Map.of(), Duration.ofMillis(10));

    /** Standard deviation of the logarithm of the log-normal factor. */
    private static final double LOG_STANDARD_DEVIATION = 0.1;

    /** Fraction of the CPU that requests lose when tasks use all of it; makes service 4 times slower. */
    private static final double MAX_CPU_LOSS = 0.75;

    public ServiceTimes {
        byClass = Map.copyOf(byClass);
        Checks.require(!defaultTime.isNegative(), "service time must not be negative");
        byClass.values().forEach(time -> Checks.require(!time.isNegative(), "service time must not be negative"));
    }

    /** Samples the service time of a request; {@code load} is the fraction of the CPU used by tasks, from 0 to 1. */
    Duration sample(String workClass, double load, Random random) {
        double baseNanos = byClass.getOrDefault(workClass, defaultTime).toNanos();
        double factor = Math.exp(LOG_STANDARD_DEVIATION * random.nextGaussian());
        return Duration.ofNanos((long) (baseNanos * factor / (1 - MAX_CPU_LOSS * load)));
    }
}
