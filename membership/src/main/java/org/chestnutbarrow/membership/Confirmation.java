package org.chestnutbarrow.membership;

import java.util.Set;
import org.chestnutbarrow.model.DaemonId;

/** Whether a log position is in force on all daemons. */
public sealed interface Confirmation {
    /** Every daemon has applied the position or is stale. */
    record InForce() implements Confirmation {}

    /**
     * A daemon that has not applied the position may still be fresh.
     *
     * @param missing daemons that have not confirmed the position
     */
    record Pending(Set<DaemonId> missing) implements Confirmation {
        public Pending {
            missing = Set.copyOf(missing);
        }
    }
}
