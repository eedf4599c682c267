package org.chestnutbarrow.standin;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts of faults that are left to happen. Stateless. */
final class Counters {
    private Counters() {}

    /** Takes one from the counter; false if it is at zero. */
    static boolean take(AtomicInteger counter) {
        return counter.getAndUpdate(left -> Math.max(0, left - 1)) > 0;
    }
}
