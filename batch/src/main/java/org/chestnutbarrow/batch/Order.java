package org.chestnutbarrow.batch;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;
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

    /**
     * Starts a run; an empty {@code checkpoint} starts it from the beginning.
     *
     * @param milliCores CPU that the task needs, for the owner's log only
     * @param waited time for which the task waited for a worker, for the owner's log only
     */
    record Start(
            TaskName task,
            int run,
            WorkerId worker,
            long incarnation,
            String payload,
            String checkpoint,
            int milliCores,
            Duration waited)
            implements Order {
        public Start {
            Checks.require(milliCores >= 0, "a task cannot need a negative amount of CPU");
            Checks.require(!waited.isNegative(), "a task cannot wait for a negative time");
        }

        /** Creates an order as a worker receives it, without what only the owner logs. */
        public Start(TaskName task, int run, WorkerId worker, long incarnation, String payload, String checkpoint) {
            this(task, run, worker, incarnation, payload, checkpoint, 0, Duration.ZERO);
        }
    }

    /** Stops a run. */
    record Stop(TaskName task, int run, WorkerId worker, long incarnation, String reason) implements Order {}

    /** Limits the CPU of a run to a percentage of its demand. */
    record SetCpuLimit(TaskName task, int run, WorkerId worker, long incarnation, int percent) implements Order {}
}
