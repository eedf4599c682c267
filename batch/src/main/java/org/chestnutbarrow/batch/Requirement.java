package org.chestnutbarrow.batch;

import java.util.Optional;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;

/**
 * The properties of a task that determine which workers can take it. Tasks with equal requirements fit on the same
 * workers.
 *
 * @param service service whose workers run the task
 * @param freeResources unreserved resources that the worker must have
 * @param label label that the worker must have
 * @param spread limit on the tasks of one step on the worker
 * @param mode how the task uses the worker's resources
 */
record Requirement(
        String service, Resources freeResources, Optional<String> label, Optional<Spread> spread, Mode mode) {

    /** A limit of {@code maxPerWorker} tasks of a step on one worker. */
    record Spread(JobId job, int step, int maxPerWorker) {}

    /** How a task uses the resources of its worker. */
    sealed interface Mode {}

    /** Reserves resources and ends by itself. */
    record RunToCompletion() implements Mode {}

    /** Reserves resources until its job is cancelled. */
    record LongRunning(String image) implements Mode {}

    /** Uses only the CPU that other tasks leave idle; {@code milliCores} is its use at full speed. */
    record BestEffort(String image, int milliCores) implements Mode {}

    /** Returns the requirement of a task; with {@code doubleRoom}, the worker must have room for two such tasks. */
    static Requirement of(TaskEntry task, String service, boolean doubleRoom) {
        Step step = task.step;
        int maxPerWorker = step.constraints().maxPerWorker();
        return new Requirement(
                service,
                doubleRoom ? step.reservation().plus(step.reservation()) : step.reservation(),
                step.constraints().label(),
                maxPerWorker == 0
                        ? Optional.empty()
                        : Optional.of(new Spread(task.name.job(), task.name.step(), maxPerWorker)),
                mode(step));
    }

    private static Mode mode(Step step) {
        if (step.behaviour().bestEffort()) {
            return new BestEffort(step.behaviour().image(), step.demand().milliCores());
        }
        return step.longRunning() ? new LongRunning(step.behaviour().image()) : new RunToCompletion();
    }
}
