package org.chestnutbarrow.batch;

/**
 * Until when a worker incarnation may discard ends that it has not listed, because of a call that was meant for an earlier
 * incarnation. Guarded by the lock of its {@link BatchScheduler}.
 */
final class ResultRisk {
    private boolean begun;
    /** In ns; meaningful only if {@link #begun}. */
    private long until;

    /** Extends the risk to a time, ns, unless it lasts longer already. */
    void extendUntil(long time) {
        if (!begun || time - until > 0) {
            begun = true;
            until = time;
        }
    }

    /** Extends the risk to the end of another one. */
    void extendLike(ResultRisk other) {
        if (other.begun) {
            extendUntil(other.until);
        }
    }

    /** Returns whether the result of a run that ends now may be discarded before it is listed. */
    boolean isPresent(long now) {
        return begun && now - until < 0;
    }

    /** Returns whether the risk has ended since the last call. */
    boolean takeEnd(long now) {
        boolean ended = begun && !isPresent(now);
        begun &= !ended;
        return ended;
    }
}
