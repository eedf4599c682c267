package org.chestnutbarrow.membership;

import java.util.Set;
import org.chestnutbarrow.model.DaemonId;

/** How far a position in the log has spread. */
public sealed interface Confirmation {
    /** No daemon without the position is fresh any more. */
    record InForce() implements Confirmation {}

    /** A daemon without the position may still be fresh; {@code missing} have not confirmed it. */
    record NotYet(Set<DaemonId> missing) implements Confirmation {
        public NotYet {
            missing = Set.copyOf(missing);
        }
    }
}
