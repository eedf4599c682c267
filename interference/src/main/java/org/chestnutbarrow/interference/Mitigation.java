package org.chestnutbarrow.interference;

import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;

/** A measure against the interference that a task causes on a worker. Immutable. */
public sealed interface Mitigation {
    /** Limit the processor time of the task to a percentage of its demand; 100 lifts the limit. */
    record Throttle(WorkerId worker, TaskId task, Attempt attempt, int percent, String reason) implements Mitigation {}

    /** Checkpoint and end the task, so that it resumes on another worker. */
    record Evict(WorkerId worker, TaskId task, Attempt attempt, String reason) implements Mitigation {}
}
