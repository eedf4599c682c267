package org.chestnutbarrow.node;

import java.time.Duration;
import java.time.Instant;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.TimeSource;

/**
 * Measures the age of what permits an action. The monotonic clock stands still while the machine is suspended, so by it
 * a permission that ran out meanwhile would still hold; the wall clock goes on, and the difference is added here.
 * Thread-safe, under its own lock.
 *
 * <p>Invariant: {@link #nanos()} advances at least as much as the monotonic clock. It also advances if the wall clock is
 * set forward, which ends permissions early. Waits after which something is certainly over must therefore use
 * {@link #source()}.
 */
final class PermissionTime implements TimeSource {
    /** Smaller differences come from clock adjustments and are of no consequence for permissions of seconds. */
    private static final Duration MIN_SUSPENSION = Duration.ofMillis(250);
    /** Bounds the effect of a wall clock that is set to a date far ahead. */
    private static final Duration MAX_SUSPENSION = Duration.ofDays(1);

    private final TimeSource source;
    private long lastNanos;
    private Instant lastNow;
    private long suspendedNanos;

    PermissionTime(TimeSource source) {
        this.source = source;
        this.lastNanos = source.nanos();
        this.lastNow = source.now();
    }

    /** Returns the clocks without the time of suspensions. */
    TimeSource source() {
        return source;
    }

    @Override
    public Instant now() {
        return source.now();
    }

    @Override
    public synchronized long nanos() {
        long before = source.nanos();
        Instant now = source.now();
        // Read again, so that a delay of this thread between the readings does not count as a suspension.
        long after = source.nanos();
        Duration suspension = Duration.between(lastNow, now).minusNanos(after - lastNanos);
        if (suspension.compareTo(MIN_SUSPENSION) > 0) {
            Duration counted = suspension.compareTo(MAX_SUSPENSION) < 0 ? suspension : MAX_SUSPENSION;
            suspendedNanos += counted.toNanos();
            Events.warn("suspension-noticed", "ms", counted.toMillis());
        }
        lastNanos = before;
        lastNow = now;
        return after + suspendedNanos;
    }
}
