package org.chestnutbarrow.standin;

import java.util.List;

/** A worker's reply to a command, independent of its encoding. */
sealed interface Reply {
    /** The lease was acquired or renewed. */
    record LeaseGranted(long epoch, long incarnation, List<Task.View> tasks, int requestsInFlight) implements Reply {}

    /** The lease was released. */
    record LeaseReleased() implements Reply {}

    /** State of the attempt after the command. */
    record AttemptState(Task.View task) implements Reply {}

    /** The shard was fenced; lists its tasks on the worker. */
    record ShardFenced(List<Task.View> tasks) implements Reply {}

    /** The epoch of the command is outdated, or its lease was released. */
    record StaleEpoch(long epoch) implements Reply {}

    /** The lease is held by another holder. */
    record LeaseHeld(String holder, long epoch, long remainingMs) implements Reply {}

    /** The attempt is unknown to the worker. */
    record UnknownAttempt() implements Reply {}

    /** The command was rejected and had no effect. */
    record Rejected(String error) implements Reply {}
}
