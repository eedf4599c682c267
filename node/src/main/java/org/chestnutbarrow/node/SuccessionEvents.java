package org.chestnutbarrow.node;

import java.util.Optional;
import org.chestnutbarrow.logging.Events;

/** The log lines of takeovers that are weighed; the same reason to decline is logged once. Used by one thread. */
final class SuccessionEvents {
    private Optional<Succession.Why> last = Optional.empty();

    static void taken(Succession.Grounds grounds, long generation, Optional<OwnerRecord> owner) {
        log(true, grounds, generation, owner);
    }

    void declined(Succession.Grounds grounds, long generation, Optional<OwnerRecord> owner) {
        switch (grounds.why()) {
            case OWNER_SUFFICES -> last = Optional.empty();
            case MEMBERS_UNKNOWN -> {}
            default -> {
                if (!last.equals(Optional.of(grounds.why()))) {
                    last = Optional.of(grounds.why());
                    log(false, grounds, generation, owner);
                }
            }
        }
    }

    private static void log(boolean takes, Succession.Grounds grounds, long generation, Optional<OwnerRecord> owner) {
        Events.info(
                "takeover-weighed",
                "takes",
                takes,
                "why",
                grounds.why(),
                "rank",
                grounds.rank(),
                "milliCores",
                grounds.milliCores(),
                "ownerMilliCores",
                grounds.ownerMilliCores(),
                "generation",
                generation,
                "owner",
                owner.map(OwnerRecord::member).orElse("none"));
    }
}
