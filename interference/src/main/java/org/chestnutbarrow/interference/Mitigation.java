package org.chestnutbarrow.interference;

import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;

/** What to do to a task on a worker. Immutable. */
public sealed interface Mitigation {
    /** Limit the task's processor time to a percentage of its demand; 100 lifts the limit. */
    record Throttle(WorkerId worker, TaskId task, Attempt attempt, int percent, String reason) implements Mitigation {}

    /** Let the task write a checkpoint and end, so that it resumes on another worker. */
    record Evict(WorkerId worker, TaskId task, Attempt attempt, String reason) implements Mitigation {}
}
