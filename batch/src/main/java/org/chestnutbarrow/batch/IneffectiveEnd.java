package org.chestnutbarrow.batch;

import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.WorkerId;

/**
 * Ends of runs that are acknowledged to their worker without effect on tasks that are not done.
 *
 * @param worker the worker
 * @param first number of the first end
 * @param last number of the last end
 * @param end the end; empty if the worker has never listed it
 * @param reason why it has no effect
 * @param count number of such ends on all workers since the last one that was handed out
 */
public record IneffectiveEnd(
        WorkerId worker, long first, long last, Optional<WorkerReport.Ended> end, Reason reason, int count) {
    /** Why an end has no effect. */
    public enum Reason {
        /** The scheduler does not know the job. */
        UNKNOWN_JOB,
        /** The job has no such task. */
        UNKNOWN_TASK,
        /** Only a part of the stored progress of the job was restored, so that none of it is stored. */
        PARTLY_RESTORED,
        /** The task has a later run. */
        OTHER_RUN,
        /** A higher number was listed, but not this one. */
        NEVER_LISTED
    }

    public IneffectiveEnd {
        Checks.require(first <= last, "first must not be after last");
    }
}
