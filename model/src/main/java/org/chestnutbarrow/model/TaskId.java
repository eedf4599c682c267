package org.chestnutbarrow.model;

/**
 * Identifies a task by its job and its index within the job; written {@code job/index}.
 *
 * @param job job that the task belongs to
 * @param index position within the job, from 0
 */
public record TaskId(JobId job, int index) implements Comparable<TaskId> {
    public TaskId {
        Checks.require(job != null, "task needs a job");
        Checks.require(index >= 0, "task index must not be negative");
    }

    /**
     * Parses {@code job/index}.
     *
     * @throws IllegalArgumentException if the text is malformed
     */
    public static TaskId parse(String text) {
        int slash = text.lastIndexOf('/');
        Checks.require(slash > 0, "task id must have the form job/index");
        return new TaskId(new JobId(text.substring(0, slash)), Integer.parseInt(text.substring(slash + 1)));
    }

    @Override
    public int compareTo(TaskId other) {
        int byJob = job.compareTo(other.job);
        return byJob != 0 ? byJob : Integer.compare(index, other.index);
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
