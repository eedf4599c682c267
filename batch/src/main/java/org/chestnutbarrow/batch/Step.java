package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.Resources;

/**
 * A group of identical tasks of a job.
 *
 * @param count number of tasks
 * @param demand resources that one task needs
 * @param estimate declared run time of a task, a rough estimate
 * @param dependencies indexes of earlier steps whose tasks must all have finished first
 * @param constraints placement constraints
 * @param behaviour how the tasks behave at run time
 */
public record Step(
        int count,
        Resources demand,
        Duration estimate,
        List<Integer> dependencies,
        Constraints constraints,
        Behaviour behaviour) {
    /** Longest run time that may be declared; longer ones are taken for a mistake of the caller. */
    public static final Duration MAX_ESTIMATE = Duration.ofDays(365);

    public Step {
        Checks.require(count > 0, "a step needs at least one task");
        Checks.require(demand != null && estimate != null, "a step needs resource demand and run time estimate");
        Checks.require(demand.fitsIn(Resources.MAX_PER_HOST), "a task needs more resources than any host has");
        Checks.require(
                !estimate.isNegative() && estimate.compareTo(MAX_ESTIMATE) <= 0,
                "the run time estimate must be at most 365 days");
        dependencies = List.copyOf(dependencies);
    }

    /**
     * Placement constraints of the tasks of a step.
     *
     * @param label label that a worker must have
     * @param rack rack that holds the input data; tasks run more slowly on other racks
     * @param maxPerWorker maximum number of tasks of the step on one worker; 0 if unlimited
     */
    public record Constraints(Optional<String> label, Optional<String> rack, int maxPerWorker) {
        public static final Constraints NONE = new Constraints(Optional.empty(), Optional.empty(), 0);
    }

    /**
     * Run-time behaviour of the tasks of a step.
     *
     * @param image image that the tasks run; tasks of one image behave alike
     * @param checkpointing whether a stopped task can resume from a checkpoint
     * @param longRunning whether the tasks run until the job is cancelled
     * @param bestEffort whether the tasks use only the CPU that other tasks leave idle
     * @param latencyTargetMs tail latency target of the user requests that a task serves, in ms; 0 if it serves none
     * @param maxUnavailable maximum number of tasks of the step that the scheduler may stop at a time; 0 if not
     *     declared
     */
    public record Behaviour(
            String image,
            boolean checkpointing,
            boolean longRunning,
            boolean bestEffort,
            int latencyTargetMs,
            int maxUnavailable) {
        /** A task that ends by itself and starts from the beginning after a stop. */
        public static final Behaviour PLAIN = new Behaviour("", false, false, false, 0, 0);
    }

    /** Returns whether the tasks run until the job is cancelled. */
    public boolean longRunning() {
        return behaviour.longRunning();
    }

    /** Returns the resources that a task reserves on its worker; best-effort tasks reserve no CPU. */
    public Resources reservation() {
        return behaviour.bestEffort() ? new Resources(0, 0, 0, demand.memoryMiB(), demand.accelerators()) : demand;
    }
}
