package org.chestnutbarrow.batch;

import java.time.Duration;
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

    /** A worker that has not answered for this time gets nothing new; holds are answered at least every 600 ms. */
    private static final Duration SILENT = Duration.ofMillis(1500);
    /** A worker counts as never heard of until its first answer. */
    private static final Duration NEVER = Duration.ofHours(1);

    final WorkerEntry entry;
    final Set<TaskEntry> tasks = new LinkedHashSet<>();
    /** Number of the last end that was taken. */
    long processed;
    /** The last change of the room, as counted by {@link WorkerIndex}. */
    long freedAt;
    /** The last change of the room or of what the tasks report, as counted by {@link WorkerIndex}. */
    long observedChange;

    final Health health = new Health();
    /** When disturbance was observed last, ns. */
    long observedAt;
    /** When filling tasks were last allowed to go faster, ns. */
    long raisedAt;

    private final WorkerIndex index;
    private boolean held;
    private boolean listed = true;
    private boolean leaving;
    private boolean out;
    private long heardAt;
    private Resources charged = Resources.NONE;
    /** Results of {@link #demanded} and {@link #leastCalm}, or null after a change. */
    private Map<String, Double> demanded;

    private Map<String, Calm.Least> leastCalm;
    private long fillMilliCores;
    private int serving;
    private final Map<String, Long> fillingImages = new HashMap<>();
    private final Map<String, Integer> servingImages = new HashMap<>();
    private long servingMilliCores;
    private final Map<StepKey, Integer> perStep = new HashMap<>();

    private record StepKey(JobId job, int step) {}

    WorkerNode(WorkerEntry entry, WorkerIndex index) {
        this.entry = entry;
        this.index = index;
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

    /** Whether this owner's token has reached the worker. */
    boolean held() {
        return held;
    }

    void hold() {
        held = true;
        index.refresh(this);
    }

    /** Whether the worker is still listed. */
    boolean listed() {
        return listed;
    }

    void listed(boolean now) {
        listed = now;
        index.refresh(this);
    }

    /** Sets whether the worker shuts down soon. */
    void leaving(boolean now) {
        leaving = now;
        index.refresh(this);
    }

    /** Sets whether the worker's zone is out of service. */
    void out(boolean now) {
        out = now;
        index.refresh(this);
    }

    /** The worker has not answered yet. */
    void neverHeard(long now) {
        heardAt = now - NEVER.toNanos();
    }

    /** The worker has answered. */
    void heard(long now) {
        boolean silent = silent(now);
        heardAt = now;
        if (silent) {
            index.freed(this);
        }
    }

    private boolean silent(long now) {
        return now - heardAt >= SILENT.toNanos();
    }

    /** Counts a failed or stuck run of a job. */
    void failed(long now, JobId job) {
        if (health.failed(now, job)) {
            index.avoided(this);
        }
    }

    /** Whether the worker is listed and this owner's token has reached it. */
    boolean inTouch() {
        return held && listed;
    }

    /** Whether the worker may get something new while it answers and does not fail what it runs. */
    boolean offered() {
        return held && listed && !leaving && !out;
    }

    /** Whether the worker may get something new. */
    boolean usable(long now) {
        return offered() && !silent(now) && health.usable(now);
    }

    void add(TaskEntry task) {
        if (!tasks.add(task)) {
            return;
        }
        task.chargeTo(this);
        charged = charged.plus(task.step.charge());
        if (task.step.service().fills()) {
            demandMore(task, task.demandedMilliCores());
        }
        if (task.serves()) {
            serving++;
            servingImages.merge(task.step.service().image(), 1, Integer::sum);
            leastCalm = null;
            servingMilliCores += task.step.demand().milliCores();
        }
        perStep.merge(key(task), 1, Integer::sum);
        index.refresh(this);
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
            leastCalm = null;
            servingMilliCores -= task.step.demand().milliCores();
        }
        perStep.computeIfPresent(key(task), (_, n) -> n > 1 ? n - 1 : null);
        index.refresh(this);
        index.freed(this);
    }

    /** Sets the share of its processor time that a filling task here may use, in percent. */
    void pace(TaskEntry task, int percent) {
        demandMore(task, -task.demandedMilliCores());
        task.pace = percent;
        demandMore(task, task.demandedMilliCores());
        index.refresh(this);
        index.freed(this);
    }

    private void demandMore(TaskEntry task, long milliCores) {
        fillMilliCores += milliCores;
        demanded = null;
        fillingImages.merge(task.step.service().image(), milliCores, Long::sum);
    }

    boolean fits(Resources demand) {
        return charged.plus(demand).fitsIn(entry.capacity());
    }

    /** How many tasks of a step are here. */
    int ofStep(JobId job, int step) {
        return perStep.getOrDefault(new StepKey(job, step), 0);
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
        if (demanded == null) {
            Map<String, Double> parts = new HashMap<>();
            fillingImages.values().removeIf(milliCores -> milliCores <= 0);
            fillingImages.forEach((image, milliCores) -> parts.put(image, part(milliCores)));
            demanded = parts;
        }
        return demanded;
    }

    /** The lowest calm headroom of the serving tasks of each image. */
    Map<String, Calm.Least> leastCalm() {
        if (leastCalm == null) {
            Map<String, Calm.Least> least = new HashMap<>();
            for (TaskEntry task : tasks) {
                if (task.serves()) {
                    least.compute(task.step.service().image(), (_, others) -> task.calm.least(others));
                }
            }
            leastCalm = least;
        }
        return leastCalm;
    }

    /** What is known of the calm headroom of the tasks has changed. */
    void learned() {
        leastCalm = null;
        index.observed(this);
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
