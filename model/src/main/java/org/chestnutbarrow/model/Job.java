package org.chestnutbarrow.model;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A submitted group of equal tasks.
 *
 * @param id the caller's own id; submitting it again changes nothing
 * @param workClass name of its class
 * @param team team that it is charged to
 * @param tasks number of tasks, at least 1
 * @param demand declared needs of each task; a hint for run time, a bound for placement
 * @param runTime declared run time of each task; a hint; zero for tasks that run until stopped
 * @param finishBy when all tasks have to be finished; empty for always-on work
 * @param submitted when it was submitted
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
    /** Most tasks in one job. */
    public static final int MAX_TASKS = 100_000;

    /** Number of job shards, the unit of job ownership. */
    public static final int SHARDS = 64;

    public Job {
        Checks.require(id != null, "job needs an id");
        Checks.identifier("class name", workClass);
        Checks.identifier("team name", team);
        Checks.require(tasks >= 1 && tasks <= MAX_TASKS, "tasks must be from 1 to " + MAX_TASKS);
        Checks.require(demand != null, "job needs a demand");
        Checks.require(!runTime.isNegative(), "run time must not be negative");
        Checks.require(finishBy != null && submitted != null, "job needs its times");
    }

    /** The job shard of a job id, from 0 to {@link #SHARDS} - 1; the same on every daemon. */
    public static int shardOf(JobId id) {
        return Math.floorMod(Hashing.hash(id.value()), SHARDS);
    }
}
