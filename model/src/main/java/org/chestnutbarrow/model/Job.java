package org.chestnutbarrow.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A submitted group of identical tasks.
 *
 * @param id id chosen by the caller; submitting the same id again has no effect
 * @param workClass name of its class
 * @param team team whose quota its resources count against
 * @param tasks number of tasks, at least 1
 * @param demand declared resources of each task; placement reserves them, actual use may differ
 * @param runTime estimated run time of each task; zero for tasks that run until stopped
 * @param finishBy deadline of all tasks; empty for always-on work
 * @param submitted time of submission
 */
public record Job(
        JobId id,
        String workClass,
        String team,
        int tasks,
        Resources demand,
        Duration runTime,
        Optional<Instant> finishBy,
        Instant submitted) {
    /** Maximum number of tasks in a job. */
    public static final int MAX_TASKS = 100_000;

    /** Number of job shards; a shard is the unit of job ownership. */
    public static final int SHARDS = 64;

    public Job {
        Checks.require(id != null, "job needs an id");
        Checks.identifier("class name", workClass);
        Checks.identifier("team name", team);
        Checks.require(tasks >= 1 && tasks <= MAX_TASKS, "tasks must be from 1 to " + MAX_TASKS);
        Checks.require(demand != null, "job needs a demand");
        Checks.require(!runTime.isNegative(), "run time must not be negative");
        Checks.require(finishBy != null && submitted != null, "job needs a finish-by and a submission time");
    }

    /** Returns the shard of a job, from 0 to {@link #SHARDS} - 1; every daemon computes the same value. */
    public static int shardOf(JobId id) {
        return Math.floorMod(Hashing.hash(id.value()), SHARDS);
    }
}
