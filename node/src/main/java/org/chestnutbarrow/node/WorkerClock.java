package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/** The clock of one worker incarnation as read from its answers. Safe for use by several threads. */
final class WorkerClock {
    private volatile Optional<Reading> last = Optional.empty();

    /**
     * One reading.
     *
     * @param clockMs the clock of the worker, ms
     * @param readAt when the answer arrived, ns by the owner's clock
     */
    private record Reading(long clockMs, long readAt) {}

    /**
     * Records the clock of an answer; a negative one is unknown and has no effect. Returns false, and records nothing, if
     * the clock is that of a later incarnation.
     */
    boolean update(long clockMs, long now) {
        if (clockMs < 0) {
            return true;
        }
        if (last.filter(reading -> IncarnationCheck.isClockOfLater(clockMs, reading.clockMs()))
                .isPresent()) {
            return false;
        }
        last = Optional.of(new Reading(clockMs, now));
        return true;
    }

    /** Returns the clock at a time, ns, in ms; empty if no answer has shown it. */
    OptionalLong at(long now) {
        Optional<Reading> reading = last;
        return reading.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(reading.get().clockMs()
                        + Duration.ofNanos(now - reading.get().readAt()).toMillis());
    }
}
