package org.chestnutbarrow.batch;

import java.time.Duration;
import java.time.Instant;
import org.chestnutbarrow.model.TimeSource;

/**
 * When a task began to wait for a worker. Immutable.
 *
 * <p>The wall-clock time is stored for later owners. Their clocks may differ and may be adjusted, so the elapsed time
 * is an estimate for the job order and for logs and never a permission.
 *
 * @param instant the stored wall-clock time
 * @param nanos the same time on the monotonic clock of this owner
 */
record WaitStart(Instant instant, long nanos) {
    /** Bounds the wait if the stored time is wrong; longer waits make no difference. */
    private static final Duration MAX_RESTORED_WAIT = Duration.ofDays(1);

    static WaitStart now(TimeSource time) {
        return new WaitStart(time.now(), time.nanos());
    }

    /** Restores a stored time; a time in the future counts as the current time. */
    static WaitStart restored(Instant stored, TimeSource time) {
        Duration wait = Duration.between(stored, time.now());
        if (wait.isNegative()) {
            wait = Duration.ZERO;
        } else if (wait.compareTo(MAX_RESTORED_WAIT) > 0) {
            wait = MAX_RESTORED_WAIT;
        }
        return new WaitStart(stored, time.nanos() - wait.toNanos());
    }

    /** Returns for how long the task has waited at {@code now}, in ns of the monotonic clock. */
    Duration elapsed(long now) {
        return Duration.ofNanos(Math.max(0, now - nanos));
    }
}
