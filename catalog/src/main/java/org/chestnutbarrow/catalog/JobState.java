package org.chestnutbarrow.catalog;

import java.time.Instant;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.Job;

/**
 * What the log says of a job. Immutable.
 *
 * @param job the job as first accepted
 * @param offset offset of the record that accepted it
 * @param cancelled whether it was cancelled
 * @param finished tasks that ran to their end
 * @param unfinished tasks with a recorded end that did not finish, by index
 * @param ended record time at which it was cancelled or its last task finished; empty before
 */
public record JobState(
        Job job,
        long offset,
        boolean cancelled,
        TaskSet finished,
        SortedMap<Integer, TaskProgress> unfinished,
        Optional<Instant> ended) {
    public JobState {
        unfinished = Collections.unmodifiableSortedMap(new TreeMap<>(unfinished));
    }

    static JobState accepted(Job job, long offset) {
        return new JobState(job, offset, false, TaskSet.EMPTY, new TreeMap<>(), Optional.empty());
    }

    /** Whether all tasks ran to their end. */
    public boolean allTasksFinished() {
        return finished.size() == job.tasks();
    }

    /** Whether an attempt of the task may still be started, as far as the log says. */
    public boolean startAllowed(int index) {
        return !cancelled && !finished.contains(index);
    }

    /** The checkpoint that the next attempt of the task resumes from. */
    public Optional<CheckpointId> resumeFrom(int index) {
        return Optional.ofNullable(unfinished.get(index)).flatMap(TaskProgress::resumeFrom);
    }

    JobState withCancellation(Instant time) {
        return new JobState(job, offset, true, finished, unfinished, ended.or(() -> Optional.of(time)));
    }
}
