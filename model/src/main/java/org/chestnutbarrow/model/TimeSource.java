package org.chestnutbarrow.model;

import java.time.Instant;

/**
 * The wall clock and the monotonic clock. Implementations are safe for use by several threads.
 *
 * <p>{@link #nanos()} never goes backwards and measures leases and timeouts; {@link #now()} may be adjusted by an
 * administrator and is used for deadlines given as a time of day and for log lines.
 */
public interface TimeSource {
    /** The system's clocks. */
    TimeSource SYSTEM = new TimeSource() {
        @Override
        public Instant now() {
            return Instant.now();
        }

        @Override
        public long nanos() {
            return System.nanoTime();
        }
    };

    /** Returns the wall-clock time. */
    Instant now();

    /** Returns monotonic time in nanoseconds since an arbitrary origin; compare values by difference only. */
    long nanos();
}
