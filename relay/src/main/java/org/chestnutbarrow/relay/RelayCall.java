package org.chestnutbarrow.relay;

import java.time.Duration;
import java.util.Set;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/** A call to a worker that an owner asks a relay to make. Immutable. */
sealed interface RelayCall {
    /** Returns the worker to call. */
    Target target();

    /** Returns the fencing token of the owner. */
    long token();

    /** Returns the expiry of leases by the worker's clock, in milliseconds; negative to extend none. */
    long leaseUntilMs();

    /** Returns how long the relay waits for the worker. */
    Duration timeout();

    /** The worker incarnation to call. */
    record Target(WorkerId worker, long incarnation, Address address) {
        private static final AvailabilityZone UNKNOWN_ZONE = new AvailabilityZone("unknown");

        static Target of(WorkerRegistration worker) {
            return new Target(worker.id(), worker.incarnation(), worker.address());
        }

        /** Returns a registration that is sufficient for calls, without service and capacity. */
        WorkerRegistration toRegistration() {
            return new WorkerRegistration(
                    worker, incarnation, address, "", UNKNOWN_ZONE, Set.of(), Resources.NONE, false);
        }
    }

    /**
     * Asks for the state of a worker.
     *
     * @param acknowledged the worker may discard the ends of runs up to this sequence number
     * @param answerDelay how long the worker may wait for the end of a run before it answers
     */
    record Hold(Target target, long token, long leaseUntilMs, long acknowledged, Duration answerDelay, Duration timeout)
            implements RelayCall {}

    /** Sends an order. The payload of a start is left out; relays know the jobs. */
    record Deliver(Target target, Order order, long token, long leaseUntilMs, Duration timeout) implements RelayCall {}
}
