package org.chestnutbarrow.membership;

import org.chestnutbarrow.model.WorkerId;

/** How a command about the lease of a worker ended. */
public sealed interface LeaseEvent {
    /** The worker concerned. */
    WorkerId worker();

    /**
     * The lease was taken or renewed.
     *
     * @param sentAt monotonic time at which the command was sent; the term counts from it
     * @param tasks attempts on the worker that have not ended
     */
    record Granted(WorkerId worker, long epoch, long sentAt, int tasks) implements LeaseEvent {}

    /** Another daemon holds the lease, or took it since. */
    record Refused(WorkerId worker) implements LeaseEvent {}

    /** There was no answer; the command may have had its effect. */
    record Unanswered(WorkerId worker) implements LeaseEvent {}

    /** The lease was given back. */
    record Released(WorkerId worker) implements LeaseEvent {}
}
