package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.SequencedMap;
import org.chestnutbarrow.model.JobId;

/**
 * Ends of runs whose jobs are not known yet. They are kept after their acknowledgement as well, so that a job that is
 * added late does not start a task that is done. Guarded by the lock of its {@link BatchScheduler}.
 */
final class EarlyEnds {
    /** Bounds the memory to a few megabytes; the jobs whose ends came first are dropped first. */
    private static final int MAX_ENDS = 10_000;

    /** An end with the worker that listed it. */
    record EarlyEnd(WorkerNode node, WorkerReport.Ended end) {}

    private final SequencedMap<JobId, List<EarlyEnd>> endsByJob = new LinkedHashMap<>();
    private int size;

    void add(WorkerNode node, WorkerReport.Ended end) {
        endsByJob.computeIfAbsent(end.task().job(), _ -> new ArrayList<>()).add(new EarlyEnd(node, end));
        size++;
        while (size > MAX_ENDS) {
            size -= endsByJob.pollFirstEntry().getValue().size();
        }
    }

    /** Returns and removes the ends of runs of a job, in the order in which they were added. */
    List<EarlyEnd> take(JobId job) {
        List<EarlyEnd> ends = endsByJob.remove(job);
        if (ends == null) {
            return List.of();
        }
        size -= ends.size();
        return ends;
    }
}
