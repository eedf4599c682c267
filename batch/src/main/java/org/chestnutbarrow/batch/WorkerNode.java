package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.JobId;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;

/**
 * One incarnation of a worker with the tasks assigned to it and the resources reserved for them. Guarded by the lock of
 * its {@link BatchScheduler}.
 */
final class WorkerNode {
    /** Latency-critical tasks use about half of the CPU that they reserve. */
    private static final double LATENCY_CRITICAL_IDLE_FRACTION = 0.5;

    /** A worker whose next report is late by this time gets no new tasks. */
    private static final Duration MAX_REPORT_DELAY = Duration.ofSeconds(1);
    /** A faulty worker fails runs within 1 to 5 s; a longer trial would keep the other room of a sound worker unused. */
    private static final Duration MAX_TRIAL = Duration.ofSeconds(5);
    /** Silence assumed for a worker before its first response, so that it counts as unresponsive. */
    private static final Duration INITIAL_SILENCE = Duration.ofHours(1);

    final WorkerRegistration registration;
    final Set<TaskEntry> tasks = new LinkedHashSet<>();
    final EndNumbers ends = new EndNumbers();
    /** Last capacity increase, as numbered by {@link WorkerIndex}. */
    long lastFreedChange;
    /** Last change of the room for best-effort tasks, as numbered by {@link WorkerIndex}. */
    long lastBestEffortChange;

    /** Keeps tasks with a result away while it is present. */
    final ResultRisk resultRisk = new ResultRisk();

    final WorkerHealth health = new WorkerHealth();
    /** Ends of runs on this worker while it was not suspected, see {@link FailureRates}. */
    Outcomes outcomes = Outcomes.NONE;
    /** When the interference model last processed a report of this worker, in ns. */
    long interferenceObservedAt;
    /** When the CPU limit of a best-effort task was last raised, in ns. */
    long cpuLimitRaisedAt;

    private final WorkerIndex index;
    private boolean ownershipConfirmed;
    private boolean listed = true;
    private boolean draining;
    private boolean zoneEvacuated;
    private long lastResponseAt;

    private Resources reserved = Resources.NONE;
    /** CPU of the tasks that last, see {@link TaskEntry#lasts}. */
    private long lastingTaskMilliCores;
    /** Cached results of {@link #bestEffortDemandByImage()} and {@link #minBaselineByImage()}; null after a change. */
    private Map<String, Double> bestEffortDemandByImage;

    private Map<String, BaselineHeadroom.Minimum> minBaselineByImage;
    private long bestEffortMilliCores;
    private int slowTasks;
    private int latencyCriticalTasks;
    private final Map<String, Long> bestEffortMilliCoresByImage = new HashMap<>();
    private final Map<String, Integer> latencyCriticalTasksByImage = new HashMap<>();
    private long latencyCriticalMilliCores;
    private final Map<StepKey, Integer> tasksByStep = new HashMap<>();
    /** Tasks for which {@link RoomClaims} keeps room here, in the order in which they get it. */
    private final Set<TaskEntry> claimants = new LinkedHashSet<>();

    private Resources claimed = Resources.NONE;
    /** CPU that the claimants use at full speed, of which best-effort ones reserve none. */
    private long claimantMilliCores;

    /** The task that this worker got on probation and that is still assigned to it; null if there is none. */
    private TaskEntry trial;
    /** When the trial run began as far as this owner knows, in ns. */
    private long trialBeganAt;

    private record StepKey(JobId job, int step) {}

    WorkerNode(WorkerRegistration registration, WorkerIndex index) {
        this.registration = registration;
        this.index = index;
        this.draining = registration.draining();
    }

    WorkerId id() {
        return registration.id();
    }

    long incarnation() {
        return registration.incarnation();
    }

    /** Returns whether an order is addressed to this incarnation. */
    boolean receives(Order order) {
        return id().equals(order.worker()) && incarnation() == order.incarnation();
    }

    /** Returns whether the worker has received the fencing token of this owner. */
    boolean ownershipConfirmed() {
        return ownershipConfirmed;
    }

    void confirmOwnership() {
        ownershipConfirmed = true;
        index.refresh(this);
    }

    /** Returns whether the worker is still listed. */
    boolean listed() {
        return listed;
    }

    void setListed(boolean newValue) {
        listed = newValue;
        index.refresh(this);
    }

    /** Returns whether the worker is draining before it shuts down. */
    boolean isDraining() {
        return draining;
    }

    /** Sets whether the worker is draining before it shuts down. */
    void setDraining(boolean newValue) {
        draining = newValue;
        index.refresh(this);
    }

    /** Sets whether the availability zone of the worker is evacuated. */
    void setZoneEvacuated(boolean newValue) {
        zoneEvacuated = newValue;
        index.refresh(this);
    }

    /** Records that the worker has not responded yet. */
    void markNeverResponded(long now) {
        lastResponseAt = now - INITIAL_SILENCE.toNanos();
    }

    /** Records a response of the worker. */
    void responded(long now) {
        boolean wasUnresponsive = isUnresponsive(now);
        lastResponseAt = now;
        if (resultRisk.takeEnd(now) || wasUnresponsive) {
            index.capacityFreed(this);
        }
    }

    /** Returns whether the worker has not responded for longer than the report interval allows. */
    boolean isUnresponsive(long now) {
        return now - lastResponseAt
                >= index.reportInterval().plus(MAX_REPORT_DELAY).toNanos();
    }

    /** Records a failed or stuck run of a job. */
    void recordFailure(long now, JobEntry job) {
        double expectedRate = index.failureRates().expected(this, job, now);
        if (health.isSound()) {
            job.outcomes.recordFailure(this, index.failureRates().ofOtherWorkers(this, now));
            index.failureRates().record(this, true, now);
        }
        recordFailure(now, expectedRate);
    }

    /** Records that the worker rejected a run because of its own health. */
    void recordUnhealthy(long now) {
        recordFailure(now, index.failureRates().ofOtherWorkers(this, now));
    }

    private void recordFailure(long now, double expectedRate) {
        if (health.recordFailure(now, expectedRate, () -> index.mayQuarantine(this))) {
            index.healthChanged(this);
        }
    }

    /** Records a run of a job that has ended well or got ready. */
    void recordSuccess(long now, JobEntry job) {
        job.outcomes.recordSuccess(index.failureRates().ofOtherWorkers(this, now));
        if (health.isSound()) {
            index.failureRates().record(this, false, now);
        }
        if (health.recordSuccess()) {
            index.healthChanged(this);
        }
    }

    /** Records that a task which this worker has just got is started. */
    void taskStarted(TaskEntry task, long now) {
        if (!health.isSound()) {
            trial = task;
            trialBeganAt = now;
        }
    }

    /** Records a run that this owner has not started or had given up; the first that is not ready may be the trial run. */
    void runInherited(TaskEntry task, long now) {
        if (trial == null && !task.isAtWork()) {
            taskStarted(task, now);
        }
    }

    /** Records that a run goes on. A trial run that has gone on for {@link #MAX_TRIAL} ends the probation. */
    void runListed(TaskEntry task, long now) {
        if (trial == task && now - trialBeganAt >= MAX_TRIAL.toNanos() && health.endProbation()) {
            index.healthChanged(this);
        }
    }

    /** Returns whether the worker is listed and has received the fencing token of this owner. */
    boolean isReachable() {
        return ownershipConfirmed && listed;
    }

    /** Returns whether the worker accepts new tasks as long as it is responsive and not suspected. */
    boolean isSchedulable() {
        return ownershipConfirmed && isUsable();
    }

    /** Returns whether the worker is listed and neither draining nor in an evacuated zone. */
    boolean isUsable() {
        return listed && !draining && !zoneEvacuated;
    }

    /** Returns whether the worker accepts new tasks now. */
    boolean acceptsTasks(long now) {
        return isSchedulable() && !isUnresponsive(now) && healthPermitsTask();
    }

    private boolean healthPermitsTask() {
        return switch (health.state()) {
            case WorkerHealth.Sound _ -> true;
            case WorkerHealth.Quarantined _ -> false;
            case WorkerHealth.OnProbation _ -> trial == null || trial.isAtWork();
        };
    }

    void add(TaskEntry task) {
        if (!tasks.add(task)) {
            return;
        }
        task.assignTo(this);
        reserved = reserved.plus(task.step.reservation());
        if (task.lasts()) {
            lastingTaskMilliCores += task.step.reservation().milliCores();
        }
        if (task.step.behaviour().bestEffort()) {
            addBestEffortDemand(task, task.limitedMilliCores());
            slowTasks += task.isSlow() ? 1 : 0;
        }
        if (task.isLatencyCritical()) {
            latencyCriticalTasks++;
            latencyCriticalTasksByImage.merge(task.step.behaviour().image(), 1, Integer::sum);
            minBaselineByImage = null;
            latencyCriticalMilliCores += task.step.demand().milliCores();
        }
        tasksByStep.merge(stepKey(task), 1, Integer::sum);
        index.refresh(this);
    }

    void remove(TaskEntry task) {
        if (!tasks.remove(task)) {
            return;
        }
        if (trial == task) {
            trial = null;
        }
        reserved = reserved.minus(task.step.reservation());
        if (task.lasts()) {
            lastingTaskMilliCores -= task.step.reservation().milliCores();
        }
        if (task.step.behaviour().bestEffort()) {
            addBestEffortDemand(task, -task.limitedMilliCores());
            slowTasks -= task.isSlow() ? 1 : 0;
        }
        if (task.isLatencyCritical()) {
            latencyCriticalTasks--;
            latencyCriticalTasksByImage.computeIfPresent(task.step.behaviour().image(), (_, n) -> n > 1 ? n - 1 : null);
            minBaselineByImage = null;
            latencyCriticalMilliCores -= task.step.demand().milliCores();
        }
        tasksByStep.computeIfPresent(stepKey(task), (_, n) -> n > 1 ? n - 1 : null);
        index.refresh(this);
        index.capacityFreed(this);
    }

    /** Sets the CPU limit of a best-effort task on this worker, in percent of its demand. */
    void setCpuLimit(TaskEntry task, int percent) {
        addBestEffortDemand(task, -task.limitedMilliCores());
        slowTasks -= task.isSlow() ? 1 : 0;
        task.cpuLimitPercent = percent;
        addBestEffortDemand(task, task.limitedMilliCores());
        slowTasks += task.isSlow() ? 1 : 0;
        index.refresh(this);
        index.capacityFreed(this);
    }

    private void addBestEffortDemand(TaskEntry task, long milliCores) {
        bestEffortMilliCores += milliCores;
        bestEffortDemandByImage = null;
        bestEffortMilliCoresByImage.merge(task.step.behaviour().image(), milliCores, Long::sum);
    }

    /** Records that a stop of a task on this worker was ordered, or that its order was dropped. */
    void stopOrderChanged(TaskEntry task) {
        if (task.step.longRunning()) {
            long milliCores = task.step.reservation().milliCores();
            lastingTaskMilliCores += task.lasts() ? milliCores : -milliCores;
            index.refresh(this);
        }
    }

    /** Keeps room for the next run of a task. */
    void addClaim(TaskEntry task) {
        if (claimants.add(task)) {
            claimed = claimed.plus(task.step.reservation());
            claimantMilliCores += task.step.demand().milliCores();
            index.refresh(this);
        }
    }

    void removeClaim(TaskEntry task) {
        if (claimants.remove(task)) {
            claimed = claimed.minus(task.step.reservation());
            claimantMilliCores -= task.step.demand().milliCores();
            index.refresh(this);
            index.capacityFreed(this);
        }
    }

    /**
     * Returns whether a claimant can be placed now. Those whose claims were made earlier come first, so their room counts
     * as taken; that of later ones does not.
     */
    boolean hasRoomForClaim(TaskEntry task) {
        Resources needed = reserved;
        for (TaskEntry claimant : claimants) {
            needed = needed.plus(claimant.step.reservation());
            if (claimant == task) {
                return needed.fitsIn(registration.capacity());
            }
        }
        return false;
    }

    /** Returns the resources that tasks hold and those that are kept for claimants. */
    Resources reservedAndClaimed() {
        return reserved.plus(claimed);
    }

    /** Returns the CPU part of {@link #lastingReservation()}. */
    long lastingMilliCores() {
        return lastingTaskMilliCores + claimed.milliCores();
    }

    /** Returns what is kept for claimants and what tasks hold that go on until their jobs are cancelled. */
    Resources lastingReservation() {
        Resources lasting = claimed;
        for (TaskEntry task : tasks) {
            if (task.lasts()) {
                lasting = lasting.plus(task.step.reservation());
            }
        }
        return lasting;
    }

    /** Returns whether there is room beside the tasks and claims on this worker. */
    boolean fits(Resources demand) {
        return reservedAndClaimed().plus(demand).fitsIn(registration.capacity());
    }

    /** Returns whether there is room beside the tasks on this worker if nothing is kept for claimants. */
    boolean fitsBesideTasks(Resources demand) {
        return reserved.plus(demand).fitsIn(registration.capacity());
    }

    /** Returns the number of tasks of a step on this worker, including those for which room is kept. */
    int countOfStep(JobId job, int step) {
        int claimantsOfStep = 0;
        for (TaskEntry claimant : claimants) {
            if (claimant.name.job().equals(job) && claimant.name.step() == step) {
                claimantsOfStep++;
            }
        }
        return tasksByStep.getOrDefault(new StepKey(job, step), 0) + claimantsOfStep;
    }

    /**
     * Returns the CPU left for further best-effort tasks: the unreserved CPU plus the part that latency-critical tasks
     * are expected to leave idle, minus the CPU that the best-effort tasks on this worker may use within their limits
     * and the CPU that claimants will use.
     */
    long spareMilliCores() {
        return (long) registration.capacity().milliCores()
                - reserved.milliCores()
                - claimantMilliCores
                + (long) (LATENCY_CRITICAL_IDLE_FRACTION * latencyCriticalMilliCores)
                - bestEffortMilliCores;
    }

    /**
     * Returns the speed that the best-effort tasks on this worker and further ones can reach together within their
     * limits, as a fraction: the CPU that all other tasks leave, divided by what they demand; from 0 to 1.
     */
    double bestEffortSpeed(long furtherMilliCores) {
        double available = Math.max(0, spareMilliCores() + bestEffortMilliCores);
        return Math.min(1, available / Math.max(1, bestEffortMilliCores + furtherMilliCores));
    }

    /** Returns the CPU that is neither reserved nor kept for claimants. */
    long freeMilliCores() {
        return Math.max(0, (long) registration.capacity().milliCores() - reserved.milliCores() - claimed.milliCores());
    }

    /** Returns whether this worker has a best-effort task that {@link TaskEntry#isSlow} applies to. */
    boolean hasSlowTask() {
        return slowTasks > 0;
    }

    /** Returns the CPU that best-effort tasks may use within their limits, by image, as fractions of the capacity. */
    Map<String, Double> bestEffortDemandByImage() {
        if (bestEffortDemandByImage == null) {
            Map<String, Double> fractions = new HashMap<>();
            bestEffortMilliCoresByImage.values().removeIf(milliCores -> milliCores <= 0);
            bestEffortMilliCoresByImage.forEach(
                    (image, milliCores) -> fractions.put(image, fractionOfCapacity(milliCores)));
            bestEffortDemandByImage = fractions;
        }
        return bestEffortDemandByImage;
    }

    /** Returns the lowest baseline headroom of the latency-critical tasks of each image. */
    Map<String, BaselineHeadroom.Minimum> minBaselineByImage() {
        if (minBaselineByImage == null) {
            Map<String, BaselineHeadroom.Minimum> minimums = new HashMap<>();
            for (TaskEntry task : tasks) {
                if (task.isLatencyCritical()) {
                    minimums.compute(task.step.behaviour().image(), (_, minimum) -> task.baseline.minimum(minimum));
                }
            }
            minBaselineByImage = minimums;
        }
        return minBaselineByImage;
    }

    /** Records that the baseline headroom of the tasks has changed. */
    void baselinesChanged() {
        minBaselineByImage = null;
        index.bestEffortRoomChanged(this);
    }

    /**
     * Returns the CPU that best-effort tasks use according to their last reports, by image, as fractions of the
     * capacity.
     */
    Map<String, Double> bestEffortUseByImage() {
        Map<String, Double> fractions = new HashMap<>();
        for (TaskEntry task : tasks) {
            if (task.step.behaviour().bestEffort()) {
                fractions.merge(task.step.behaviour().image(), fractionOfCapacity(task.loadMetric), Double::sum);
            }
        }
        return fractions;
    }

    /** Returns the number of latency-critical tasks on this worker that run an image. */
    int latencyCriticalTasksOf(String image) {
        return latencyCriticalTasksByImage.getOrDefault(image, 0);
    }

    /** Converts an amount of CPU to a fraction of the capacity. */
    double fractionOfCapacity(long milliCores) {
        return (double) milliCores / Math.max(1, registration.capacity().milliCores());
    }

    int latencyCriticalTasks() {
        return latencyCriticalTasks;
    }

    private static StepKey stepKey(TaskEntry task) {
        return new StepKey(task.name.job(), task.name.step());
    }
}
