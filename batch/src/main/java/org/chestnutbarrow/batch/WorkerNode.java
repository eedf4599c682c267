package org.chestnutbarrow.batch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/** One life of a worker with what is charged to it. Guarded by the lock of its {@link Cell}. */
final class WorkerNode {
    /** Tasks that serve users use about half of the processor time that they ask for. */
    private static final double IDLE_PART = 0.5;

    final WorkerEntry entry;
    final Set<TaskEntry> tasks = new LinkedHashSet<>();
    /** Whether this owner's token has reached the worker. */
    boolean held;
    /** Whether the worker is still listed. */
    boolean listed = true;

    boolean leaving;
    /** Whether tasks that serve are kept away, for the filling tasks that would disturb them. */
    boolean reserved;
    /** Time of the last answer, ns. */
    long heardAt;

    long processed;
    long acknowledged;
    final Health health = new Health();
    final Pacing pacing = new Pacing();
    /** Worst ratio of tail to target without filling tasks; a calm serving task reports about 0.4 of its target. */
    double quietRatio = 0.4;

    private Resources charged = Resources.NONE;
    private long fillMilliCores;
    private int serving;
    private long servingMilliCores;
    private final Map<StepKey, Integer> perStep = new HashMap<>();

    private record StepKey(JobId job, int step) {}

    WorkerNode(WorkerEntry entry) {
        this.entry = entry;
        this.leaving = entry.leaving();
    }

    WorkerId id() {
        return entry.id();
    }

    long born() {
        return entry.born();
    }

    void add(TaskEntry task) {
        if (!tasks.add(task)) {
            return;
        }
        task.on = this;
        charged = charged.plus(task.step.charge());
        if (task.step.service().fills()) {
            fillMilliCores += task.step.demand().milliCores();
        }
        if (task.step.service().targetMs() > 0) {
            serving++;
            servingMilliCores += task.step.demand().milliCores();
        }
        perStep.merge(key(task), 1, Integer::sum);
    }

    void remove(TaskEntry task) {
        if (!tasks.remove(task)) {
            return;
        }
        charged = charged.minus(task.step.charge());
        if (task.step.service().fills()) {
            fillMilliCores -= task.step.demand().milliCores();
        }
        if (task.step.service().targetMs() > 0) {
            serving--;
            servingMilliCores -= task.step.demand().milliCores();
        }
        perStep.computeIfPresent(key(task), (_, n) -> n > 1 ? n - 1 : null);
    }

    boolean fits(Resources demand) {
        return charged.plus(demand).fitsIn(entry.capacity());
    }

    int ofStep(TaskEntry task) {
        return perStep.getOrDefault(key(task), 0);
    }

    /** Processor time that ordinary tasks are expected to leave and filling tasks have not asked for. */
    long spareMilliCores() {
        return (long) entry.capacity().milliCores()
                - charged.milliCores()
                + (long) (IDLE_PART * servingMilliCores)
                - fillMilliCores;
    }

    /** Declared processor time that ordinary tasks have not asked for. */
    long freeMilliCores() {
        return (long) entry.capacity().milliCores() - charged.milliCores();
    }

    int serving() {
        return serving;
    }

    private static StepKey key(TaskEntry task) {
        return new StepKey(task.name.job(), task.name.step());
    }
}
