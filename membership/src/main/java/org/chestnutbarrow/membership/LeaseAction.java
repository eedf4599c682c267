package org.chestnutbarrow.membership;

import org.chestnutbarrow.model.Worker;

/**
 * An action that the daemon has to take on the lease of a worker.
 *
 * <p>{@link Claim}, {@link Renew} and {@link Release} are commands to the worker. The caller reports the outcome of
 * each with exactly one {@link LeaseEvent}, and no other command is issued for the worker before that. The other
 * actions are local, take effect immediately and have no outcome.
 */
public sealed interface LeaseAction {
    /** Returns the worker whose lease is concerned. */
    Worker worker();

    /** Acquire the lease. */
    record Claim(Worker worker) implements LeaseAction {}

    /** Renew the lease; retried without an answer until the lease expires. */
    record Renew(Worker worker, long epoch) implements LeaseAction {}

    /** Stop using the worker immediately, then release the lease. */
    record Release(Worker worker, long epoch) implements LeaseAction {}

    /** Stop assigning new work to the worker; running work continues. */
    record Pause(Worker worker, long epoch) implements LeaseAction {}

    /** Resume assigning new work to the worker. */
    record Resume(Worker worker, long epoch) implements LeaseAction {}

    /** Stop using the worker immediately, because the lease was lost or has expired. */
    record Drop(Worker worker, long epoch) implements LeaseAction {}
}
