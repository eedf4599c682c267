package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.Arrays;

/** Run times of the finished tasks of a step, under this owner. Guarded by the lock of its {@link BatchScheduler}. */
final class RunTimes {
    /** Further run times are not kept; the median of so many hardly changes. */
    private static final int MAX_COUNT = 63;

    /** Run times in ns, in ascending order. */
    private long[] nanos = {};

    void add(Duration runTime) {
        if (nanos.length < MAX_COUNT) {
            nanos = Arrays.copyOf(nanos, nanos.length + 1);
            nanos[nanos.length - 1] = runTime.toNanos();
            Arrays.sort(nanos);
        }
    }

    int count() {
        return nanos.length;
    }

    /** Returns the median, of an even number the lower one; there must be a run time. */
    Duration median() {
        return Duration.ofNanos(nanos[(nanos.length - 1) / 2]);
    }
}
