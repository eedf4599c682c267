package org.chestnutbarrow.membership;

/** The state of the lease of one worker as known to this daemon. Times are monotonic nanoseconds. */
sealed interface LeaseState {
    /** The lease is not held; it is not claimed before {@code notBefore}. */
    record Free(long notBefore) implements LeaseState {}

    /** A claim is in flight. */
    record Claiming() implements LeaseState {}

    /**
     * The lease is held.
     *
     * @param validUntil time until which the lease is guaranteed to be valid
     * @param renewAt time of the next renewal
     * @param renewing whether a renewal is in flight
     * @param handover state of the handover to another daemon
     * @param tasks attempts that had not ended at the last renewal
     */
    record Held(long epoch, long validUntil, long renewAt, boolean renewing, Handover handover, int tasks)
            implements LeaseState {
        Held withRenewalSent() {
            return new Held(epoch, validUntil, renewAt, true, handover, tasks);
        }

        Held withRenewalAt(long at) {
            return new Held(epoch, validUntil, at, false, handover, tasks);
        }

        Held withHandover(Handover next) {
            return new Held(epoch, validUntil, renewAt, renewing, next, tasks);
        }
    }

    /** A release is in flight. */
    record Releasing() implements LeaseState {}

    /** The state of the handover of a held worker to another daemon. */
    sealed interface Handover {
        /** No handover is in progress; none starts before {@code notBefore}. */
        record Idle(long notBefore) implements Handover {}

        /**
         * New work is stopped. The lease is released when the running requests have ended, at the latest at
         * {@code deadline}.
         *
         * @param usesPermit whether the handover counts towards {@link WorkerLeases#MAX_CONCURRENT_HANDOVERS}
         */
        record Paused(long deadline, boolean usesPermit) implements Handover {}
    }
}
