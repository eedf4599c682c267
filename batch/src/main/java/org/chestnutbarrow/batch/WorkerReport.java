package org.chestnutbarrow.batch;

import java.util.List;
import org.chestnutbarrow.model.WorkerId;

/**
 * What a worker runs and what ended there.
 *
 * @param worker the worker
 * @param born the life that answered
 * @param running all runs at the time of the answer
 * @param ended ends that were not acknowledged, oldest first
 */
public record WorkerReport(WorkerId worker, long born, List<Running> running, List<Ended> ended) {
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run in progress.
     *
     * @param task its task
     * @param run its number
     * @param percent progress; 100 for a lasting task that is at work
     * @param load tail latency in ms for a task that serves users, otherwise the processor time in use
     */
    public record Running(TaskName task, int run, int percent, int load) {}

    /**
     * The end of a run.
     *
     * @param number position in the worker's list of ends, from 1 in each life
     * @param task its task
     * @param run its number
     * @param how why it ended
     * @param checkpoint where a next run can resume, or empty
     */
    public record Ended(long number, TaskName task, int run, EndKind how, String checkpoint) {}

    /** Why a run ended. */
    public enum EndKind {
        DONE,
        FAILED,
        /** Stopped, its lease expired, or another member of its group ended. */
        INTERRUPTED
    }
}
