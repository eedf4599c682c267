package org.chestnutbarrow.batch;

import java.time.Duration;

/**
 * Numbers of ended runs and of those that failed, in which earlier runs count for less. Immutable.
 *
 * <p>Invariant: neither number is negative.
 *
 * @param runs decayed number of ended runs
 * @param failures decayed number of failed runs
 * @param at time to which the numbers are decayed, in ns
 */
record Outcomes(double runs, double failures, long at) {
    /** No runs. */
    static final Outcomes NONE = new Outcomes(0, 0, 0);

    /** Time after which a run counts for 1/e; some tens of runs end on a worker in that time. */
    private static final Duration TIME_CONSTANT = Duration.ofSeconds(30);

    Outcomes {
        runs = Math.max(0, runs);
        failures = Math.max(0, failures);
    }

    /** Returns these outcomes and that of a run that has ended at {@code now}. */
    Outcomes plus(boolean failed, long now) {
        Outcomes current = decayedTo(now);
        return new Outcomes(current.runs + 1, current.failures + (failed ? 1 : 0), now);
    }

    /** Returns these outcomes without some that are part of them. */
    Outcomes minus(Outcomes part, long now) {
        Outcomes current = decayedTo(now);
        Outcomes currentPart = part.decayedTo(now);
        return new Outcomes(current.runs - currentPart.runs, current.failures - currentPart.failures, now);
    }

    private Outcomes decayedTo(long now) {
        if (runs == 0) {
            return new Outcomes(0, 0, now);
        }
        double factor = Math.exp(-(double) Math.max(0, now - at) / TIME_CONSTANT.toNanos());
        return new Outcomes(runs * factor, failures * factor, now);
    }
}
