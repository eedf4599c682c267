package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.batch.Order;
import org.chestnutbarrow.batch.WorkerEntry;
import org.chestnutbarrow.batch.WorkerReport;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;

/** Orders to workers. Implementations are safe for use by several threads; calls block. */
public interface WorkerPort {
    /** Why a worker did not do what it was told. */
    enum Refusal {
        /** A newer owner has given orders. */
        FENCED,
        /** The run, or a later one, has already ended or was stopped there. */
        OLD_RUN,
        /** The order arrived after its lease. */
        LATE,
        /** No capacity, no permission, or a malformed order. */
        REJECTED,
        /** The worker is unhealthy. */
        UNHEALTHY,
        /** The worker has started anew. */
        OTHER_LIFE
    }

    /** A worker's answer to an order. */
    sealed interface Answer {}

    /**
     * The order is carried out.
     *
     * @param clockMs the worker's clock, or -1 if it was not given
     */
    record Done(long clockMs) implements Answer {}

    /**
     * The order had no effect.
     *
     * @param why the reason
     */
    record Refused(Refusal why) implements Answer {}

    /**
     * The worker's state.
     *
     * @param report what runs and what ended
     * @param clockMs the worker's clock
     */
    record Listed(WorkerReport report, long clockMs) implements Answer {}

    /**
     * Sends an order.
     *
     * @param token the owner's token
     * @param leaseUntilMs end of the lease on the worker's clock; used by starts only
     */
    Answer send(WorkerEntry to, Order order, long token, long leaseUntilMs, Duration timeout)
            throws NotRunException, OutcomeUnknownException;

    /**
     * Extends the leases of all that runs on the worker and asks for its state.
     *
     * @param leaseUntilMs end of the lease on the worker's clock; negative to extend nothing
     * @param acknowledged ends up to this number may be forgotten
     * @param wait how long the worker may wait for an end before it answers
     */
    Answer hold(WorkerEntry to, long token, long leaseUntilMs, long acknowledged, Duration wait, Duration timeout)
            throws NotRunException, OutcomeUnknownException;
}
