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
    /** Whether new serving tasks are kept away, for the filling tasks that would disturb them. */
    boolean reserved;
    /** Time of the last answer, ns. */
    long heardAt;

    long processed;
    long acknowledged;
    final Health health = new Health();
    final Pacing pacing = new Pacing();

    private Resources charged = Resources.NONE;
    private long fillMilliCores;
    private int serving;
    private final Map<String, Long> fillingImages = new HashMap<>();
    private final Map<String, Integer> servingImages = new HashMap<>();
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
            fillingImages.merge(
                    task.step.service().image(), (long) task.step.demand().milliCores(), Long::sum);
        }
        if (task.step.service().targetMs() > 0) {
            serving++;
            servingImages.merge(task.step.service().image(), 1, Integer::sum);
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
            long less = task.step.demand().milliCores();
            fillingImages.computeIfPresent(task.step.service().image(), (_, n) -> n > less ? n - less : null);
        }
        if (task.step.service().targetMs() > 0) {
            serving--;
            servingImages.computeIfPresent(task.step.service().image(), (_, n) -> n > 1 ? n - 1 : null);
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

    /** Images of the serving tasks here. */
    Set<String> servingImages() {
        return servingImages.keySet();
    }

    /** Processor time that the filling tasks of each image have asked for, in thousandths of a core. */
    Map<String, Long> fillingImages() {
        return fillingImages;
    }

    /** How many of the serving tasks here run an image. */
    int serving(String image) {
        return servingImages.getOrDefault(image, 0);
    }

    /** Processor time as a part of the worker's capacity. */
    double part(long milliCores) {
        return (double) milliCores / Math.max(1, entry.capacity().milliCores());
    }

    int serving() {
        return serving;
    }

    private static StepKey key(TaskEntry task) {
        return new StepKey(task.name.job(), task.name.step());
    }
}
