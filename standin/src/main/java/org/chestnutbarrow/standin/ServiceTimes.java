package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.chestnutbarrow.model.Checks;

/**
 * How long requests take. Immutable.
 *
 * @param byClass base time of each class
 * @param otherwise base time of other classes
 */
public record ServiceTimes(Map<String, Duration> byClass, Duration otherwise) {
    /** Ten milliseconds for every class. */
    public static final ServiceTimes DEFAULT = new ServiceTimes(Map.of(), Duration.ofMillis(10));

    /** Standard deviation of the logarithm of the random factor. */
    private static final double SPREAD = 0.1;

    /** Share of the processor time that requests lose when tasks take all of it; makes service 4 times slower. */
    private static final double MAX_LOSS = 0.75;

    public ServiceTimes {
        byClass = Map.copyOf(byClass);
        Checks.require(!otherwise.isNegative(), "service time must not be negative");
        byClass.values().forEach(time -> Checks.require(!time.isNegative(), "service time must not be negative"));
    }

    /** Service time of one request; {@code load} is the processor share that tasks take, from 0 to 1. */
    Duration next(String workClass, double load, Random random) {
        double base = byClass.getOrDefault(workClass, otherwise).toNanos();
        double factor = Math.exp(SPREAD * random.nextGaussian());
        return Duration.ofNanos((long) (base * factor / (1 - MAX_LOSS * load)));
    }
}
