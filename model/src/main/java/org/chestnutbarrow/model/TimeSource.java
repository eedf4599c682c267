package org.chestnutbarrow.model;

import java.time.Instant;

/**
 * The clock as decisions see it. Implementations are safe for use by several threads.
 *
 * <p>{@link #nanos()} never goes back and is what leases and timeouts are measured with; {@link #now()} may be set by an
 * administrator and is used for deadlines that people state and for log lines.
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

    /** Wall-clock time. */
    Instant now();

    /** Monotonic time in nanoseconds from an arbitrary origin; compare by difference only. */
    long nanos();
}
