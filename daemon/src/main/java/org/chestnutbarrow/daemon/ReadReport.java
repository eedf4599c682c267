package org.chestnutbarrow.daemon;

/** Told by {@link LogFollower} how its reads went. Called on the follower's thread; must not block. */
interface ReadReport {
    /**
     * Everything in the log has been applied.
     *
     * @param sentNanos monotonic time at which the read was sent; nothing newer stood in the log at that moment
     * @param position offset of the last record applied
     */
    void readToEnd(long sentNanos, long position);

    /** A read failed, or the log and the peers do not hold enough to go on; the state may be out of date. */
    void readFailed(String reason);
}
