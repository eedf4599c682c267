package org.chestnutbarrow.catalog;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.LogRecord.TaskEnd;
import org.chestnutbarrow.model.TaskState;

/**
 * The logged progress of a task that has ended at least once without finishing. Immutable.
 *
 * @param attempt newest attempt whose end is recorded
 * @param state final state of that attempt
 * @param resumeFrom checkpoint that the next attempt resumes from; empty if it starts from the beginning
 * @param used earlier checkpoints, oldest first; none of them is resumed from again
 */
public record TaskProgress(
        Attempt attempt, TaskState state, Optional<CheckpointId> resumeFrom, List<CheckpointId> used) {
    /** Maximum number of used checkpoints kept per task; older ones were replaced long ago. */
    private static final int MAX_USED_CHECKPOINTS = 16;

    public TaskProgress {
        used = List.copyOf(used);
    }

    static TaskProgress ofFirstEnd(TaskEnd end) {
        return new TaskProgress(end.attempt(), end.state(), end.checkpoint(), List.of());
    }

    /** Returns the progress after the end of a later attempt. A checkpoint that was already used is discarded. */
    TaskProgress afterEnd(TaskEnd end) {
        List<CheckpointId> usedBefore = new ArrayList<>(used);
        resumeFrom.ifPresent(usedBefore::add);
        Optional<CheckpointId> unusedCheckpoint = end.checkpoint().filter(id -> !usedBefore.contains(id));
        int excess = Math.max(0, usedBefore.size() - MAX_USED_CHECKPOINTS);
        return new TaskProgress(
                end.attempt(), end.state(), unusedCheckpoint, usedBefore.subList(excess, usedBefore.size()));
    }
}
