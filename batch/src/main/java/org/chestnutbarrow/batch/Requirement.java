package org.chestnutbarrow.batch;

import java.util.Optional;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;

/**
 * All that decides whether a worker can take a task. Tasks with equal requirements fit on the same workers.
 *
 * @param service service whose workers run the task
 * @param room declared room that the worker must have left
 * @param label label that the worker must have
 * @param spread bound on the tasks of one step on the worker
 * @param manner how the task uses the worker
 */
record Requirement(String service, Resources room, Optional<String> label, Optional<Spread> spread, Manner manner) {

    /** At most {@code perWorker} tasks of a step on one worker. */
    record Spread(JobId job, int step, int perWorker) {}

    /** How a task uses its worker. */
    sealed interface Manner {}

    /** Has room of its own and ends by itself. */
    record Finite() implements Manner {}

    /** Has room of its own until its job is cancelled. */
    record Lasting(String image) implements Manner {}

    /** Uses what others leave; {@code milliCores} at full speed. */
    record Filling(String image, int milliCores) implements Manner {}

    /** What a task requires; {@code twice} if the worker must have room for two of it. */
    static Requirement of(TaskEntry task, String service, boolean twice) {
        Step step = task.step;
        int perWorker = step.placement().perWorker();
        return new Requirement(
                service,
                twice ? step.charge().plus(step.charge()) : step.charge(),
                step.placement().label(),
                perWorker == 0
                        ? Optional.empty()
                        : Optional.of(new Spread(task.name.job(), task.name.step(), perWorker)),
                manner(step));
    }

    private static Manner manner(Step step) {
        if (step.service().fills()) {
            return new Filling(step.service().image(), step.demand().milliCores());
        }
        return step.lasting() ? new Lasting(step.service().image()) : new Finite();
    }
}
