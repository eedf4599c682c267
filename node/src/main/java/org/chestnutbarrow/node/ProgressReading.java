package org.chestnutbarrow.node;

import org.chestnutbarrow.batch.JobProgress;

/** What an owner reads as the stored progress of a job. Immutable. */
sealed interface ProgressReading {
    /** Nothing is stored, so that the job has not run. */
    record None() implements ProgressReading {}

    /** The progress is known. */
    record Decoded(JobProgress progress) implements ProgressReading {}

    /** Something is stored that cannot be read, so that tasks of the job may run or have finished. */
    record Unreadable(Exception cause) implements ProgressReading {}
}
