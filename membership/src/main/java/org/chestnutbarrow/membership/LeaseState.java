package org.chestnutbarrow.membership;

/** State of the lease of one worker as this daemon knows it. Times are monotonic nanoseconds. */
sealed interface LeaseState {
    /** Not held; not to be claimed before {@code notBefore}. */
    record Free(long notBefore) implements LeaseState {}

    /** A claim is under way. */
    record Claiming() implements LeaseState {}

    /**
     * Held, at least until {@code validUntil}.
     *
     * @param renewAt when to renew
     * @param renewing whether a renewal is under way
     * @param handOver whether new work is stopped in order to release
     * @param tasks attempts that had not ended at the last renewal
     */
    record Held(long epoch, long validUntil, long renewAt, boolean renewing, HandOver handOver, int tasks)
            implements LeaseState {
        Held renewalSent() {
            return new Held(epoch, validUntil, renewAt, true, handOver, tasks);
        }

        Held renewAgainAt(long at) {
            return new Held(epoch, validUntil, at, false, handOver, tasks);
        }

        Held with(HandOver next) {
            return new Held(epoch, validUntil, renewAt, renewing, next, tasks);
        }
    }

    /** A release is under way. */
    record Releasing() implements LeaseState {}

    /** Whether a held worker is being handed over. */
    sealed interface HandOver {
        /** Not under way; not to be begun before {@code notBefore}. */
        record Idle(long notBefore) implements HandOver {}

        /**
         * New work is stopped; the lease is released when the requests have ended, at the latest at {@code deadline}.
         *
         * @param counted whether it takes up one of the hand-overs that are allowed at a time
         */
        record Paused(long deadline, boolean counted) implements HandOver {}
    }
}
