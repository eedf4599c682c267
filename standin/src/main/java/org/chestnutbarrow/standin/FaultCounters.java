package org.chestnutbarrow.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** Operations on counters of faults that are still to be injected. Stateless. */
final class FaultCounters {
    private FaultCounters() {}

    /** Decrements the counter and returns true; returns false if it is already zero. */
    static boolean decrementIfPositive(AtomicInteger counter) {
        return counter.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0;
    }
}
