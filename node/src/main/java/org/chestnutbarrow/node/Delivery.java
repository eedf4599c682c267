package org.chestnutbarrow.node;

import java.util.Optional;
import org.chestnutbarrow.batch.Order;

/**
 * An order that waits for its next delivery attempt or is being sent. Immutable.
 *
 * @param order the order
 * @param queuedAtNanos when the order was added to the queue
 * @param retry whether the order was attempted before
 * @param unanswered the first attempt that may have reached the worker, if there was one
 */
record Delivery(Order order, long queuedAtNanos, boolean retry, Optional<Attempt> unanswered) {
    /**
     * An attempt to send the order.
     *
     * @param leaseUntilMs expiry of the lease that the order carries, by the worker's clock
     * @param expiresAtNanos when that lease has expired, by the owner's monotonic clock
     */
    record Attempt(long leaseUntilMs, long expiresAtNanos) {}

    /** Creates a delivery that has not been attempted. */
    static Delivery first(Order order, long nowNanos) {
        return new Delivery(order, nowNanos, false, Optional.empty());
    }

    /** Returns the delivery to retry after an attempt that did not reach the worker. */
    Delivery nextAttempt() {
        return new Delivery(order, queuedAtNanos, true, unanswered);
    }

    /** Returns the delivery to retry after an attempt that may have reached the worker. */
    Delivery nextAttempt(Attempt attempt) {
        return new Delivery(order, queuedAtNanos, true, Optional.of(unanswered.orElse(attempt)));
    }
}
