package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Map;
import org.chestnutbarrow.model.JobId;

/**
 * The jobs with records that can be removed at some time. Immutable. All times are those for which this node has known
 * the state, whoever was the owner, and none depends on a wall clock.
 *
 * @param settledFor for how long jobs have ended with all their runs, including removed jobs with stored progress
 * @param removedFor for how long jobs have been removed whose progress is still stored; only jobs whose removal this
 *     node has read
 * @param cancelledUnknownFor for how long cancellations have been stored without their jobs
 */
record EndedJobs(
        Map<JobId, Duration> settledFor, Map<JobId, Duration> removedFor, Map<JobId, Duration> cancelledUnknownFor) {
    EndedJobs {
        settledFor = Map.copyOf(settledFor);
        removedFor = Map.copyOf(removedFor);
        cancelledUnknownFor = Map.copyOf(cancelledUnknownFor);
    }
}
