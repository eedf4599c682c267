package org.chestnutbarrow.soak;

import org.chestnutbarrow.model.Checks;

/**
 * Identifies a task of a job.
 *
 * @param job the job id, without dots
 * @param step index of the step
 * @param index index of the task in its step
 */
record TaskKey(String job, int step, int index) {
    private static final int SEGMENTS = 4;

    /** Parses a name of the form JOB.OCCURRENCE.STEP.INDEX. */
    static TaskKey parse(String name) {
        String[] segments = name.split("\\.", -1);
        Checks.require(segments.length == SEGMENTS, "a task name has four segments, not " + name);
        return new TaskKey(segments[0], Integer.parseInt(segments[2]), Integer.parseInt(segments[3]));
    }

    /** Returns the name under which workers know the task. */
    @Override
    public String toString() {
        return job + ".0." + step + "." + index;
    }
}
