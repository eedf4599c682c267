package org.chestnutbarrow.model;

import java.time.Duration;
import java.util.Optional;

/**
 * An attempt as its worker reports it.
 *
 * @param task the task
 * @param workClass name of its class
 * @param shard job shard of its job
 * @param attempt the attempt
 * @param state its state
 * @param checkpoint the checkpoint that it wrote when it stopped, if any
 * @param demand what is charged to the worker for it
 * @param leaseRemaining time until its lease lapses; zero once it has ended
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
