package org.chestnutbarrow.catalog;

import java.time.Instant;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chestnutbarrow.model.CheckpointId;
import org.chestnutbarrow.model.Job;

/**
 * The logged state of a job. Immutable.
 *
 * @param job job as first accepted
 * @param offset offset of the record that accepted the job
 * @param cancelled whether the job was cancelled
 * @param finished tasks that have finished
 * @param unfinished progress, by task index, of the tasks that have ended but not finished
 * @param ended record time at which the job was cancelled or its last task finished; empty before that
 */
public record LoggedJobState(
        Job job,
        long offset,
        boolean cancelled,
        TaskSet finished,
        SortedMap<Integer, TaskProgress> unfinished,
        Optional<Instant> ended) {
    public LoggedJobState {
        unfinished = Collections.unmodifiableSortedMap(new TreeMap<>(unfinished));
    }

    static LoggedJobState accepted(Job job, long offset) {
        return new LoggedJobState(job, offset, false, TaskSet.EMPTY, new TreeMap<>(), Optional.empty());
    }

    /** Returns whether all tasks of the job have finished. */
    public boolean allTasksFinished() {
        return finished.size() == job.tasks();
    }

    /** Returns whether the logged state allows another attempt of the task to start. */
    public boolean startAllowed(int index) {
        return !cancelled && !finished.contains(index);
    }

    /** Returns the checkpoint that the next attempt of the task resumes from; empty if it starts from the beginning. */
    public Optional<CheckpointId> resumeFrom(int index) {
        return Optional.ofNullable(unfinished.get(index)).flatMap(TaskProgress::resumeFrom);
    }

    LoggedJobState withCancellation(Instant time) {
        return new LoggedJobState(job, offset, true, finished, unfinished, ended.or(() -> Optional.of(time)));
    }
}
