package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;

/**
 * The sequence number up to which the ends of a worker's runs may be acknowledged, and whether the worker has received
 * it. Thread-safe; all state is guarded by the monitor of this object, and the number never falls.
 */
final class Acknowledgement {
    private final TimeSource time;
    private long upTo;
    /** Number up to which the incarnation has discarded its ends. */
    private long carriedOut;

    /** When a hold with a number last remained unanswered, ns; meaningful while {@link #unanswered} is set. */
    private long unansweredAt;
    /** Whether a hold with a number remained unanswered and none was answered since. */
    private boolean unanswered;

    private long lateUntil;

    Acknowledgement(TimeSource time) {
        this.time = time;
        lateUntil = time.nanos();
    }

    /**
     * Returns the number to send with the next hold; 0 if the worker has received it. Another incarnation, which may
     * carry out the hold, would discard ends by it that were never reported.
     */
    synchronized long pending() {
        return upTo > carriedOut ? upTo : 0;
    }

    /**
     * Records that the incarnation has answered a hold with the number {@code sent}. If it still lists an acknowledged
     * end, the number is sent again.
     *
     * @param listed numbers of the ends in the answer
     */
    synchronized void answered(long sent, LongStream listed) {
        if (unanswered) {
            unanswered = false;
            lateUntil = unansweredAt + LeaseTimes.MAX_CALL_DELAY.toNanos();
        }
        carriedOut = Math.max(carriedOut, sent);
        carriedOut = Math.min(carriedOut, listed.min().orElse(Long.MAX_VALUE) - 1);
    }

    /** Records that a hold with the number {@code sent} has no answer. */
    synchronized void failed(long sent, Exception cause) {
        if (sent > 0 && !(cause instanceof NotRunException)) {
            unanswered = true;
            unansweredAt = time.nanos();
        }
    }

    /**
     * Returns until when a later incarnation may carry out a hold with a number, ns. A hold that remained unanswered,
     * although the incarnation answered again afterwards, may be late; others were lost with it or are in flight.
     */
    synchronized long lateUntil() {
        long now = time.nanos();
        long inFlightUntil = upTo > carriedOut ? now + LeaseTimes.MAX_TRANSMISSION.toNanos() : now;
        return lateUntil - inFlightUntil > 0 ? lateUntil : inFlightUntil;
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
