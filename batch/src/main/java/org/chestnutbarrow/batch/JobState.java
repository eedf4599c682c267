package org.chestnutbarrow.batch;

/** Where a job stands. */
public enum JobState {
    /** No worker has confirmed or listed a run of the job. */
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED;

    /** Whether nothing of the job will run any more. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
