package org.chestnutbarrow.membership;

import org.chestnutbarrow.model.Worker;

/**
 * What has to be done about the lease of a worker.
 *
 * <p>{@link Claim}, {@link Renew} and {@link Release} are commands to the worker; each is answered by exactly one
 * {@link LeaseEvent}, and until then no other command is given for the worker. The others take effect at once and have no
 * answer.
 */
public sealed interface LeaseEffect {
    /** The worker concerned. */
    Worker worker();

    /** Take the lease. */
    record Claim(Worker worker) implements LeaseEffect {}

    /** Renew the lease; repeat while unanswered and the term lasts. */
    record Renew(Worker worker, long epoch) implements LeaseEffect {}

    /** Stop using the worker now, then give the lease back. */
    record Release(Worker worker, long epoch) implements LeaseEffect {}

    /** Give the worker no new work; what runs there goes on. */
    record Pause(Worker worker, long epoch) implements LeaseEffect {}

    /** Give the worker new work again. */
    record Resume(Worker worker, long epoch) implements LeaseEffect {}

    /** Stop using the worker now: the lease was lost or has lapsed. */
    record Drop(Worker worker, long epoch) implements LeaseEffect {}
}
