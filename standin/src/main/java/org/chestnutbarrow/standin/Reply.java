package org.chestnutbarrow.standin;

import java.util.List;

/** A worker's answer to a command, independent of its encoding. */
sealed interface Reply {
    /** The lease is held. */
    record Granted(long epoch, long incarnation, List<Task.View> tasks, int requestsInFlight) implements Reply {}

    /** The lease was given back. */
    record Released() implements Reply {}

    /** State of the attempt after the command. */
    record Done(Task.View task) implements Reply {}

    /** The tasks of a fenced shard. */
    record Fenced(List<Task.View> tasks) implements Reply {}

    /** The command's epoch is not the newest one, or its lease was given back. */
    record StaleEpoch(long epoch) implements Reply {}

    /** Another holder has the lease. */
    record Held(String holder, long epoch, long remainingMs) implements Reply {}

    /** The worker does not know the attempt. */
    record UnknownAttempt() implements Reply {}

    /** The command did nothing. */
    record Refused(String error) implements Reply {}
}
