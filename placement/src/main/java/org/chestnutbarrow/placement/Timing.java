package org.chestnutbarrow.placement;

import java.time.Duration;

/** Times that the decisions keep to. Stateless. */
final class Timing {
    /** A task's lease of 3.5 s and 10% for clocks that run at different speeds. */
    static final long LEASE_LAPSE = Duration.ofMillis(3850).toNanos();

    /** Time after which a start or stop command without a result is repeated. */
    static final long REPEAT = Duration.ofMillis(500).toNanos();

    /** Delay after a start that was refused. */
    static final long REFUSED_DELAY = Duration.ofMillis(100).toNanos();

    /** Delay after the first failure of a task; doubles with each further one. */
    static final long RETRY_DELAY = Duration.ofSeconds(1).toNanos();

    /** Most doublings of a delay. */
    static final int MAX_DOUBLINGS = 6;

    /** Time for which a bad job is held first, before one of its tasks is tried again. */
    static final long JOB_HOLD = Duration.ofSeconds(30).toNanos();

    /** Time for which a bad worker is quarantined first, before it is given a probe. */
    static final long QUARANTINE = Duration.ofSeconds(10).toNanos();

    /** Time after which a probe that neither failed nor finished no longer bars a second one. */
    static final long PROBE_TIME = Duration.ofSeconds(30).toNanos();

    /** Time over which a returned zone is ramped up. */
    static final long ZONE_RAMP = Duration.ofSeconds(10).toNanos();

    private Timing() {}

    /** The delay after that many occurrences, from 1. */
    static long backOff(long first, int occurrences) {
        return first << Math.min(Math.max(0, occurrences - 1), MAX_DOUBLINGS);
    }
}
