package org.chestnutbarrow.node;

import java.util.Optional;
import org.chestnutbarrow.logging.Events;

/** Logs takeover decisions; a reason to decline is logged only when it changes. Used by one thread. */
final class TakeoverEvents {
    private Optional<TakeoverPolicy.Reason> lastDeclined = Optional.empty();

    static void taken(TakeoverPolicy.Assessment assessment, long generation, Optional<OwnerRecord> owner) {
        log(true, assessment, generation, owner);
    }

    void declined(TakeoverPolicy.Assessment assessment, long generation, Optional<OwnerRecord> owner) {
        switch (assessment.reason()) {
            case OWNER_SUFFICES -> lastDeclined = Optional.empty();
            case MEMBERS_UNKNOWN -> {}
            default -> {
                if (!lastDeclined.equals(Optional.of(assessment.reason()))) {
                    lastDeclined = Optional.of(assessment.reason());
                    log(false, assessment, generation, owner);
                }
            }
        }
    }

    private static void log(
            boolean takes, TakeoverPolicy.Assessment assessment, long generation, Optional<OwnerRecord> owner) {
        Events.info(
                "takeover-weighed",
                "takes",
                takes,
                "why",
                assessment.reason(),
                "rank",
                assessment.rank(),
                "milliCores",
                assessment.milliCores(),
                "ownerMilliCores",
                assessment.ownerMilliCores(),
                "generation",
                generation,
                "owner",
                owner.map(OwnerRecord::member).orElse("none"));
    }
}
