package org.chestnutbarrow.batch;

import org.chestnutbarrow.model.WorkerId;

/** An instruction to one incarnation of a worker. */
public sealed interface Order {
    /** Returns the task that the order refers to. */
    TaskName task();

    /** Returns the number of the run that the order refers to. */
    int run();

    /** Returns the worker that receives the order. */
    WorkerId worker();

    /** Returns the incarnation of the worker that receives the order. */
    long incarnation();

    /** Starts a run; an empty {@code checkpoint} starts it from the beginning. */
    record Start(TaskName task, int run, WorkerId worker, long incarnation, String payload, String checkpoint)
            implements Order {}

    /** Stops a run. */
    record Stop(TaskName task, int run, WorkerId worker, long incarnation, String reason) implements Order {}

    /** Limits the CPU of a run to a percentage of its demand. */
    record SetCpuLimit(TaskName task, int run, WorkerId worker, long incarnation, int percent) implements Order {}
}
