package org.chestnutbarrow.batch;

/** What became of a job that was passed to a scheduler. */
public enum JobAddition {
    /** The job is new to the scheduler. */
    ADDED,
    /** The scheduler has the job already. */
    KNOWN,
    /** The scheduler knows that the job has ended and that none of its runs is left. */
    ENDED
}
