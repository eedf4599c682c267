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
    /** Time of the last answer, ns. */
    long heardAt;

    long processed;
    long acknowledged;
    final Health health = new Health();
    /** When disturbance was observed last, ns. */
    long observedAt;
    /** When filling tasks were last allowed to go faster, ns. */
    long raisedAt;

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

    /** Whether an order is for this life. */
    boolean receives(Order order) {
        return id().equals(order.worker()) && born() == order.born();
    }

    void add(TaskEntry task) {
        if (!tasks.add(task)) {
            return;
        }
        task.on = this;
        charged = charged.plus(task.step.charge());
        if (task.step.service().fills()) {
            demandMore(task, task.demandedMilliCores());
        }
        if (task.serves()) {
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
            demandMore(task, -task.demandedMilliCores());
        }
        if (task.serves()) {
            serving--;
            servingImages.computeIfPresent(task.step.service().image(), (_, n) -> n > 1 ? n - 1 : null);
            servingMilliCores -= task.step.demand().milliCores();
        }
        perStep.computeIfPresent(key(task), (_, n) -> n > 1 ? n - 1 : null);
    }

    /** Sets the share of its processor time that a filling task here may use, in percent. */
    void pace(TaskEntry task, int percent) {
        demandMore(task, -task.demandedMilliCores());
        task.pace = percent;
        demandMore(task, task.demandedMilliCores());
    }

    private void demandMore(TaskEntry task, long milliCores) {
        fillMilliCores += milliCores;
        fillingImages.merge(task.step.service().image(), milliCores, Long::sum);
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

    /** What the filling tasks of each image may use, as parts of the worker. */
    Map<String, Double> demanded() {
        Map<String, Double> parts = new HashMap<>();
        fillingImages.forEach((image, milliCores) -> {
            if (milliCores > 0) {
                parts.put(image, part(milliCores));
            }
        });
        return parts;
    }

    /** What the filling tasks of each image use as reported, as parts of the worker. */
    Map<String, Double> use() {
        Map<String, Double> parts = new HashMap<>();
        for (TaskEntry task : tasks) {
            if (task.step.service().fills()) {
                parts.merge(task.step.service().image(), part(task.load), Double::sum);
            }
        }
        return parts;
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
