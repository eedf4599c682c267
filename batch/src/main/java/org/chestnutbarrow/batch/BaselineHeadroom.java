package org.chestnutbarrow.batch;

/**
 * Estimate of the latency headroom that a latency-critical task would have without best-effort tasks on its worker. It
 * follows the load of the task, which varies around a level that is typical of latency-critical tasks. Guarded by the
 * lock of its {@link BatchScheduler}.
 */
final class BaselineHeadroom {
    private static final double INITIAL_VARIANCE = 0.7;
    /**
     * Process noise: the variance that load changes add per second. The load varies by half with periods of 10 s and
     * more.
     */
    private static final double PROCESS_NOISE_PER_SECOND = 0.6;
    /** Fraction of the deviation from the typical level that remains after one second. */
    private static final double RETENTION_PER_SECOND = 0.85;

    private double level;
    private double variance = INITIAL_VARIANCE;
    private boolean observed;

    /**
     * The lowest level of several tasks.
     *
     * @param observedLevel lowest level of the tasks that have reported; infinite if none has
     * @param anyUnobserved whether some tasks have not reported
     */
    record Minimum(double observedLevel, boolean anyUnobserved) {
        /** Returns the lowest level, assuming the typical one for tasks that have not reported. */
        double level(double typicalLevel) {
            return anyUnobserved ? Math.min(observedLevel, typicalLevel) : observedLevel;
        }
    }

    /** Returns the minimum of this level and {@code other}, which may be null. */
    Minimum minimum(Minimum other) {
        double level = observed ? this.level : Double.POSITIVE_INFINITY;
        return other == null
                ? new Minimum(level, !observed)
                : new Minimum(Math.min(level, other.observedLevel()), !observed || other.anyUnobserved());
    }

    double level(double typicalLevel) {
        return observed ? level : typicalLevel;
    }

    double variance() {
        return variance;
    }

    void predict(double seconds, double typicalLevel) {
        double retention = Math.pow(RETENTION_PER_SECOND, seconds);
        level = observed ? typicalLevel + (level - typicalLevel) * retention : typicalLevel;
        variance = Math.min(INITIAL_VARIANCE, variance * retention * retention + PROCESS_NOISE_PER_SECOND * seconds);
        observed = true;
    }

    /** Updates the estimate with its share of a prediction error whose variance is {@code totalVariance}. */
    void update(double error, double totalVariance) {
        double gain = variance / totalVariance;
        level += gain * error;
        variance *= 1 - gain;
    }
}
