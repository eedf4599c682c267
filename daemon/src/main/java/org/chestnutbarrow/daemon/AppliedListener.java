package org.chestnutbarrow.daemon;

import java.util.List;

/** Told by {@link LogFollower} what has been applied. Called on the follower's thread; must not block. */
interface AppliedListener {
    /** These records were applied, in order of their offsets. */
    void applied(List<AppliedRecord> records);

    /** The state was replaced by a snapshot; records up to the position are covered without having been read. */
    void restored(long position);
}
