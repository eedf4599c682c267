package org.chestnutbarrow.daemon;

/** Receives the results of {@link LogFollower}'s reads. Called on the follower's thread; must not block. */
interface LogReadListener {
    /**
     * Called when everything in the log has been applied.
     *
     * @param sentNanos monotonic time at which the read was sent; at that time the log held no newer record
     * @param position offset of the last record applied
     */
    void readToEnd(long sentNanos, long position);

    /** Called when a read failed, or neither the log nor a peer has the records needed next; the state may be stale. */
    void readFailed(String reason);
}
