package org.chestnutbarrow.daemon;

import java.util.List;

/** Receives the records that {@link LogFollower} has applied. Called on the follower's thread; must not block. */
interface AppliedListener {
    /** Called after records have been applied, in the order of their offsets. */
    void onApplied(List<AppliedRecord> records);

    /**
     * Called after the state has been replaced by a snapshot. The snapshot covers all records up to {@code position};
     * they are not read one by one.
     */
    void onRestored(long position);
}
