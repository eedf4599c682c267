package org.chestnutbarrow.membership;

import org.chestnutbarrow.model.WorkerId;

/** The outcome of a command on the lease of a worker. */
public sealed interface LeaseEvent {
    /** Returns the worker whose lease is concerned. */
    WorkerId worker();

    /**
     * The lease was acquired or renewed.
     *
     * @param sentAt monotonic time at which the command was sent; the lease duration counts from then
     * @param tasks attempts on the worker that have not ended
     */
    record Granted(WorkerId worker, long epoch, long sentAt, int tasks) implements LeaseEvent {}

    /** Another daemon holds the lease or has acquired it in the meantime. */
    record Refused(WorkerId worker) implements LeaseEvent {}

    /** There was no answer; the command may have been carried out. */
    record Unanswered(WorkerId worker) implements LeaseEvent {}

    /** The lease was released. */
    record Released(WorkerId worker) implements LeaseEvent {}
}
