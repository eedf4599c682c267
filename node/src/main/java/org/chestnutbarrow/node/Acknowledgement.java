package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.model.TimeSource;

/**
 * The sequence number up to which the ends of a worker's runs may be acknowledged. Thread-safe; all state is guarded by
 * the monitor of this object, and the number never falls.
 */
final class Acknowledgement {
    private final TimeSource time;
    private long upTo;

    Acknowledgement(TimeSource time) {
        this.time = time;
    }

    synchronized long upTo() {
        return upTo;
    }

    /** Raises the number and wakes the threads that wait for it. Has no effect if it is not higher. */
    synchronized void raise(long sequence) {
        upTo = Math.max(upTo, sequence);
        notifyAll();
    }

    /** Waits until the number has reached {@code sequence}, for {@code maxWait} at most and while a condition holds. */
    synchronized void await(long sequence, Duration maxWait, BooleanSupplier condition) {
        long deadline = time.nanos() + maxWait.toNanos();
        long remainingMs = maxWait.toMillis();
        while (condition.getAsBoolean() && upTo < sequence && remainingMs > 0) {
            try {
                wait(remainingMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            remainingMs = Duration.ofNanos(deadline - time.nanos()).toMillis();
        }
    }
}
