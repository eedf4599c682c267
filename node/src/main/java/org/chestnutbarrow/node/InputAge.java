package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.function.Supplier;
import org.chestnutbarrow.logging.Events;

/**
 * The age of the copies of jobs, declarations and the worker list from which an owner starts tasks. Safe for use by
 * several threads, except for {@link #check}, which is confined to one.
 */
final class InputAge {
    /**
     * Maximum age from which tasks are started. The bounds for draining workers and evacuating availability zones begin
     * at 2 s; a copy that is read on time is up to 1.2 s old.
     */
    private static final Duration MAX_AGE = HandoverPolicy.MAX_AGE;

    private final long token;
    private final Supplier<Duration> age;
    /** Whether the age allowed starts when it was checked last. */
    private boolean wasRecent = true;

    /** Creates the check of the term with the given token; {@code age} returns the age of the oldest copy. */
    InputAge(long token, Supplier<Duration> age) {
        this.token = token;
        this.age = age;
    }

    /** Returns the age of the oldest copy. */
    Duration current() {
        return age.get();
    }

    /** Returns whether the copies are recent enough to start tasks. */
    boolean isRecent() {
        return isRecent(current());
    }

    private static boolean isRecent(Duration age) {
        return age.compareTo(MAX_AGE) < 0;
    }

    /** Returns whether the copies are recent enough to start tasks; logs each change. */
    boolean check() {
        Duration current = current();
        boolean recent = isRecent(current);
        if (recent && !wasRecent) {
            Events.info("starts-resumed", "token", token, "inputsAgeMs", current.toMillis());
        } else if (!recent && wasRecent) {
            Events.warn("starts-suspended", "token", token, "inputsAgeMs", current.toMillis());
        }
        wasRecent = recent;
        return recent;
    }

    /** Returns the result of the last check. */
    boolean wasRecent() {
        return wasRecent;
    }
}
