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

    /**
     * The lowest level of several tasks.
     *
     * @param known lowest level of those that have reported; infinite if none has
     * @param fresh whether some have not reported
     */
    record Least(double known, boolean fresh) {
        /** The lowest level if tasks that have not reported are at the typical one. */
        double level(double typical) {
            return fresh ? Math.min(known, typical) : known;
        }
    }

    /** This level beside the lowest of others, which may be null. */
    Least least(Least others) {
        double level = known ? this.level : Double.POSITIVE_INFINITY;
        return others == null
                ? new Least(level, !known)
                : new Least(Math.min(level, others.known()), !known || others.fresh());
    }

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
