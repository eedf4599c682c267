package org.chestnutbarrow.model;

import java.time.Duration;
import java.util.Optional;

/**
 * The status of an attempt as reported by its worker.
 *
 * @param task task that the attempt belongs to
 * @param workClass name of its class
 * @param shard job shard of its job
 * @param attempt identifies the attempt
 * @param state state of the attempt
 * @param checkpoint checkpoint written when the attempt stopped, if any
 * @param demand resources reserved for it on the worker
 * @param leaseRemaining time until its lease expires; zero once it has ended
 */
public record TaskStatus(
        TaskId task,
        String workClass,
        int shard,
        Attempt attempt,
        TaskState state,
        Optional<CheckpointId> checkpoint,
        Resources demand,
        Duration leaseRemaining) {
    public TaskStatus {
        Checks.require(task != null && attempt != null && state != null, "status needs task, attempt and state");
        Checks.require(checkpoint != null && demand != null, "status needs checkpoint and demand");
        Checks.require(!leaseRemaining.isNegative(), "remaining lease must not be negative");
    }
}
