package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.WorkerId;

/** An instruction to one life of a worker. */
public sealed interface Order {
    /** The task that the order is about. */
    TaskName task();

    /** The run that the order is about. */
    int run();

    /** The worker that receives it. */
    WorkerId worker();

    /** The life of the worker that receives it. */
    long born();

    /** Starts a run; {@code checkpoint} is empty for the beginning. */
    record Start(TaskName task, int run, WorkerId worker, long born, String payload, String checkpoint)
            implements Order {}

    /** Stops a run. */
    record Stop(TaskName task, int run, WorkerId worker, long born, String reason) implements Order {}

    /** Limits the share of its processor time that a run may use. */
    record Pace(TaskName task, int run, WorkerId worker, long born, int percent) implements Order {}
}
