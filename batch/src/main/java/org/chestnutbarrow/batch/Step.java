package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;

/**
 * A group of equal tasks of a job.
 *
 * @param count number of tasks
 * @param demand what one task needs
 * @param estimate declared run time of a task, a rough hint
 * @param after earlier steps, all of whose tasks must have finished first
 * @param placement constraints on workers
 * @param service how the tasks behave at run time
 */
public record Step(
        int count, Resources demand, Duration estimate, List<Integer> after, Constraints placement, Behaviour service) {
    public Step {
        Checks.require(count > 0, "a step needs at least one task");
        Checks.require(demand != null && estimate != null, "a step needs demand and estimate");
        after = List.copyOf(after);
    }

    /**
     * Where the tasks of a step may run.
     *
     * @param label label that a worker must have
     * @param rack rack that holds the input data; other racks are slower
     * @param perWorker most tasks of the step on one worker; 0 if unlimited
     */
    public record Constraints(Optional<String> label, Optional<String> rack, int perWorker) {
        /** No constraints. */
        public static final Constraints NONE = new Constraints(Optional.empty(), Optional.empty(), 0);
    }

    /**
     * How the tasks of a step behave.
     *
     * @param image what the tasks run; tasks of one image behave alike
     * @param checkpoints whether a stopped task can resume
     * @param lasting whether the tasks run until the job is cancelled
     * @param fills whether the tasks use only the processor time that others leave
     * @param targetMs bound of the tail latency of the users that the task serves, in ms; 0 if it serves none
     * @param maxUnavailable most tasks of the step that the scheduler may take away at a time; 0 if not declared
     */
    public record Behaviour(
            String image, boolean checkpoints, boolean lasting, boolean fills, int targetMs, int maxUnavailable) {
        /** A task that ends by itself and starts anew after a stop. */
        public static final Behaviour PLAIN = new Behaviour("", false, false, false, 0, 0);
    }

    /** Whether the tasks run until the job is cancelled. */
    public boolean lasting() {
        return service.lasting();
    }

    /** What a running task takes from the worker's declared capacity. */
    public Resources charge() {
        return service.fills() ? new Resources(0, 0, 0, demand.memoryMiB(), demand.accelerators()) : demand;
    }
}
