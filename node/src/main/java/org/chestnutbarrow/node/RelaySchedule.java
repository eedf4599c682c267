package org.chestnutbarrow.node;

import java.time.Duration;

/**
 * Decides when an owner reads the members of the group for its relays. The store lists only members that hold a
 * partition, and hands a partition over some calls to join after the change of the group. Used by one thread at a time.
 *
 * <p>Invariant: after each change of the group the members are read at once, and once more when all partitions have been
 * handed over.
 */
final class RelaySchedule {
    /** Number of membership timeouts within which each holder has released its partitions or is no member any more. */
    private static final int HANDOVER_TTLS = 2;

    private final Duration handoverTime;
    private long generation = -1;
    private long changedAt;
    private boolean settled;

    /** Creates a schedule of which no read is known; {@code ttl} is the shortest membership timeout. */
    RelaySchedule(Duration ttl) {
        handoverTime = ttl.multipliedBy(HANDOVER_TTLS);
    }

    /** Returns whether the members are to be read, given the latest generation and the time in ns. */
    boolean isDue(long latestGeneration, long now) {
        return latestGeneration != generation || (!settled && isHandoverOver(now));
    }

    /** Records a read of the members that began after the store had returned this generation. */
    void read(long readGeneration, long now) {
        if (readGeneration != generation) {
            generation = readGeneration;
            changedAt = now;
            settled = false;
        } else {
            settled = isHandoverOver(now);
        }
    }

    private boolean isHandoverOver(long now) {
        return now - changedAt >= handoverTime.toNanos();
    }
}
