package org.chestnutbarrow.placement;

import java.time.Duration;

/** Delays and timeouts of placement decisions. Stateless. */
final class Timing {
    /** Time after which a task lease has expired on every clock: 3.5 s plus 10% for clock drift. */
    static final long LEASE_EXPIRY_NANOS = Duration.ofMillis(3850).toNanos();

    /**
     * Interval at which a start command without a result is repeated; stop and checkpoint commands use four times it.
     */
    static final long COMMAND_REPEAT_NANOS = Duration.ofMillis(500).toNanos();

    /** Delay before a task is tried again after a worker refused to start it. */
    static final long REFUSED_START_DELAY_NANOS = Duration.ofMillis(100).toNanos();

    /** Delay after the first failure of a task; doubles with each further failure. */
    static final long FIRST_RETRY_DELAY_NANOS = Duration.ofSeconds(1).toNanos();

    /** Maximum number of times a delay is doubled. */
    static final int MAX_BACKOFF_DOUBLINGS = 6;

    /** Duration of a job's first hold, after which one of its tasks is tried again. */
    static final long FIRST_JOB_HOLD_NANOS = Duration.ofSeconds(30).toNanos();

    /** Duration of a worker's first quarantine, after which it gets one task as a probe. */
    static final long FIRST_QUARANTINE_NANOS = Duration.ofSeconds(10).toNanos();

    /** Time after which a probe that has neither failed nor finished no longer blocks the next one. */
    static final long PROBE_TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();

    /** Time over which starts in a zone that was returned to service are ramped up. */
    static final long ZONE_RAMP_UP_NANOS = Duration.ofSeconds(10).toNanos();

    private Timing() {}

    /** Returns the delay after the given number of occurrences, counted from 1. */
    static long exponentialBackoff(long firstDelay, int occurrences) {
        return firstDelay << Math.min(Math.max(0, occurrences - 1), MAX_BACKOFF_DOUBLINGS);
    }
}
