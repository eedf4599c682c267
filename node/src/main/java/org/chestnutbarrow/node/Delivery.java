package org.chestnutbarrow.node;

import java.util.Optional;
import org.chestnutbarrow.batch.Order;

/**
 * An order on its way to a worker.
 *
 * @param order the order
 * @param queuedAt when it was given to the link, ns
 * @param repeated whether it was tried before
 * @param unanswered the first call that may have reached the worker
 */
record Delivery(Order order, long queuedAt, boolean repeated, Optional<Sent> unanswered) {
    /**
     * A call without an answer.
     *
     * @param leaseUntilMs end of the lease that the order carries, on the worker's clock
     * @param until when that lease has been over by the owner's clock, ns
     */
    record Sent(long leaseUntilMs, long until) {}

    /** An order that was not tried yet. */
    static Delivery first(Order order, long now) {
        return new Delivery(order, now, false, Optional.empty());
    }

    /** The same order, to be tried again; it has certainly not reached the worker this time. */
    Delivery again() {
        return new Delivery(order, queuedAt, true, unanswered);
    }

    /** The same order, to be tried again after a call without an answer. */
    Delivery again(Sent sent) {
        return new Delivery(order, queuedAt, true, Optional.of(unanswered.orElse(sent)));
    }
}
