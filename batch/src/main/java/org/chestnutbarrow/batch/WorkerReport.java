package org.chestnutbarrow.batch;

import java.util.List;
import org.chestnutbarrow.model.WorkerId;

/**
 * A worker's report of its current runs and of the runs that have ended.
 *
 * @param worker the worker
 * @param incarnation the worker incarnation that sent the report
 * @param running all current runs
 * @param ended ends that have not been acknowledged, in any order
 */
public record WorkerReport(WorkerId worker, long incarnation, List<Running> running, List<Ended> ended) {
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run in progress.
     *
     * @param task task that is run
     * @param run number of the run
     * @param progressPercent progress; 100 for a long-running task that is ready
     * @param loadMetric tail latency in ms for a latency-critical task, otherwise CPU use in millicores
     */
    public record Running(TaskName task, int run, int progressPercent, int loadMetric) {}

    /**
     * The end of a run.
     *
     * @param sequence sequence number of the end, from 1 in each worker incarnation
     * @param task task that was run
     * @param run number of the run
     * @param kind why the run ended
     * @param checkpoint where the next run can resume; empty if there is none
     */
    public record Ended(long sequence, TaskName task, int run, EndKind kind, String checkpoint) {}

    /** Why a run ended. */
    public enum EndKind {
        DONE,
        FAILED,
        /** The run was stopped, its lease expired, or another member of its group ended. */
        INTERRUPTED
    }
}
