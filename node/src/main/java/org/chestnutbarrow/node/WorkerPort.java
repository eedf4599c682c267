package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/** Sends orders to workers. Implementations are thread-safe; calls block. */
public interface WorkerPort {
    /** Why a worker refused an order. */
    enum Refusal {
        /** The worker has received orders from a newer owner. */
        FENCED,
        /** The run, or a later run of the task, has already ended or been stopped on the worker. */
        OLD_RUN,
        /** The order arrived after its lease had expired. */
        LATE,
        /** The worker lacks capacity or permission, or the order is malformed. */
        REJECTED,
        /** The worker reports itself as unhealthy. */
        UNHEALTHY,
        /** The worker has restarted since the order was issued. */
        OTHER_LIFE
    }

    /** A worker's answer to an order. */
    sealed interface Answer {}

    /**
     * The order was carried out.
     *
     * @param clockMs the worker's clock in milliseconds, or -1 if the answer does not contain it
     */
    record Done(long clockMs) implements Answer {}

    /**
     * The order had no effect.
     *
     * @param reason why the worker refused the order
     */
    record Refused(Refusal reason) implements Answer {}

    /**
     * The state of the worker.
     *
     * @param report running and ended runs
     * @param clockMs the worker's clock in milliseconds
     */
    record StatusReport(WorkerReport report, long clockMs) implements Answer {}

    /**
     * Sends an order to a worker.
     *
     * @param token fencing token of the owner
     * @param leaseUntilMs expiry of the lease by the worker's clock; used by start orders only
     */
    Answer send(WorkerRegistration worker, Order order, long token, long leaseUntilMs, Duration timeout)
            throws NotRunException, OutcomeUnknownException;

    /**
     * Extends the leases of all runs on a worker and returns its state. The worker delays the answer until a run ends
     * or {@code wait} has passed.
     *
     * @param leaseUntilMs new expiry of the leases by the worker's clock; negative to extend none
     * @param acknowledged the worker may discard the ends of runs up to this sequence number
     * @param wait how long the worker may wait for the end of a run before it answers
     */
    Answer hold(
            WorkerRegistration worker,
            long token,
            long leaseUntilMs,
            long acknowledged,
            Duration wait,
            Duration timeout)
            throws NotRunException, OutcomeUnknownException;
}
