package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.TimeSource;

/**
 * Whether the calls of a link still reach the worker incarnation that the link was made for. Calls address a worker by
 * its id, so after a failed call the next one may reach a later incarnation. Safe for use by several threads.
 */
final class IncarnationCheck {
    /** Answers on different connections can overtake each other; a clock further back is that of a new incarnation. */
    private static final Duration MAX_CLOCK_REGRESSION = Duration.ofSeconds(2);

    private final AtomicLong failedCalls = new AtomicLong();
    /** Value of {@link #failedCalls} before the last hold that this incarnation has answered. */
    private volatile long failedCallsWhenConfirmed = -1;

    private volatile boolean replaced;

    private final TimeSource time;
    /** When a call last failed that may have been sent, ns; guarded by this, like the next two. */
    private long unansweredAt;

    private boolean unanswered;
    private long lateCallsUntil;

    IncarnationCheck(TimeSource time) {
        this.time = time;
        lateCallsUntil = time.nanos();
    }

    /** Records a call without an answer. */
    void callFailed(Exception cause) {
        failedCalls.incrementAndGet();
        if (!(cause instanceof NotRunException)) {
            synchronized (this) {
                unanswered = true;
                unansweredAt = time.nanos();
            }
        }
    }

    /**
     * Returns until when calls may still be carried out, ns. A call that remained unanswered, although this incarnation
     * answered again afterwards, may be late; others were lost with the incarnation.
     */
    synchronized long lateCallsUntil() {
        return lateCallsUntil;
    }

    /** Returns the number of calls without an answer. */
    long failedCalls() {
        return failedCalls.get();
    }

    /** Records that this incarnation has answered a hold; {@code failedBefore} calls had failed when it was sent. */
    void confirm(long failedBefore) {
        replaced = false;
        failedCallsWhenConfirmed = failedBefore;
        synchronized (this) {
            if (unanswered) {
                lateCallsUntil = unansweredAt + LeaseTimes.MAX_CALL_DELAY.toNanos();
                unanswered = false;
            }
        }
    }

    /** Returns whether this incarnation has answered a hold and no call has failed since. */
    boolean isConfirmed() {
        return failedCallsWhenConfirmed == failedCalls.get();
    }

    /** Records that a later incarnation has answered. Returns whether this was not known. */
    boolean markReplaced() {
        failedCalls.incrementAndGet();
        boolean known = replaced;
        replaced = true;
        return !known;
    }

    /** Returns whether the last answer that tells came from a later incarnation. */
    boolean isReplaced() {
        return replaced;
    }

    /** Returns whether a worker clock of {@code clockMs} after one of {@code lastMs} is that of a later incarnation. */
    static boolean isClockOfLater(long clockMs, long lastMs) {
        return clockMs + MAX_CLOCK_REGRESSION.toMillis() < lastMs;
    }
}
