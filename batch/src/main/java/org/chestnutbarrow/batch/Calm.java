package org.chestnutbarrow.batch;

/**
 * Headroom that a serving task would have without filling tasks beside it. Follows the task's load, which swings around a
 * level that is typical of serving tasks. Guarded by the lock of its {@link Cell}.
 */
final class Calm {
    private static final double START_VARIANCE = 0.7;
    /** Variance that the load adds per second; it swings by half with periods from 10 s on. */
    private static final double DRIFT = 0.6;
    /** Part of the distance to the typical level that is left after a second. */
    private static final double KEPT = 0.85;

    private double level;
    private double variance = START_VARIANCE;
    private boolean known;

    double level(double typical) {
        return known ? level : typical;
    }

    double variance() {
        return variance;
    }

    void advance(double seconds, double typical) {
        double kept = Math.pow(KEPT, seconds);
        level = known ? typical + (level - typical) * kept : typical;
        variance = Math.min(START_VARIANCE, variance * kept * kept + DRIFT * seconds);
        known = true;
    }

    /** Takes an error in the headroom of which {@code whole} is the whole variance. */
    void correct(double error, double whole) {
        double gain = variance / whole;
        level += gain * error;
        variance *= 1 - gain;
    }
}
