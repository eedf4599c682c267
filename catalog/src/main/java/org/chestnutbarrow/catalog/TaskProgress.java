package org.chestnutbarrow.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.TaskState;

/**
 * What the log says of a task that has ended at least once without finishing. Immutable.
 *
 * @param attempt the newest attempt whose end is recorded
 * @param state how that attempt ended
 * @param resumeFrom checkpoint that the next attempt resumes from; empty if it starts from the beginning
 * @param used earlier checkpoints, oldest first; none of them is resumed from again
 */
public record TaskProgress(
        Attempt attempt, TaskState state, Optional<CheckpointId> resumeFrom, List<CheckpointId> used) {
    /** Checkpoints remembered for each task; older ones have long been replaced. */
    private static final int MAX_USED_CHECKPOINTS = 16;

    public TaskProgress {
        used = List.copyOf(used);
    }

    static TaskProgress ofFirstEnd(TaskEnd end) {
        return new TaskProgress(end.attempt(), end.state(), end.checkpoint(), List.of());
    }

    /** The progress after a later attempt's end; a checkpoint that was resumed from before is dropped. */
    TaskProgress afterEnd(TaskEnd end) {
        List<CheckpointId> before = new ArrayList<>(used);
        resumeFrom.ifPresent(before::add);
        Optional<CheckpointId> fresh = end.checkpoint().filter(id -> !before.contains(id));
        int drop = Math.max(0, before.size() - MAX_USED_CHECKPOINTS);
        return new TaskProgress(end.attempt(), end.state(), fresh, before.subList(drop, before.size()));
    }
}
