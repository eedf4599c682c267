package org.chestnutbarrow.batch;

/** State of a job. */
public enum JobState {
    /** No worker has confirmed or listed a run of the job yet. */
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED;

    /** Returns whether the job has ended, so that none of its tasks is started any more. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
