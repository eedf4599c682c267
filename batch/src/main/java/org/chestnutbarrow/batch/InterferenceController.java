package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Throttles or moves best-effort tasks whose interference brings the latency-critical tasks on their worker close to
 * their latency targets. Guarded by the lock of its {@link BatchScheduler}.
 */
final class InterferenceController {
    /**
     * Expected headroom below which best-effort tasks are throttled. Reports show a load change only after about 0.8 s.
     */
    private static final double LOW_HEADROOM = 1.1;
    /** Expected headroom that must remain when CPU limits are raised again. */
    private static final double HIGH_HEADROOM = 1.3;
    /** Best-effort tasks whose share would fall below this are moved if they can resume on another worker. */
    private static final double MOVE_BELOW_SHARE = 0.5;
    /** Smallest change of a CPU limit that is worth an order, in percent. */
    private static final int MIN_CHANGE_PERCENT = 15;
    /** Headroom gain below which throttling a task is not worth an order. */
    private static final double MIN_HEADROOM_LOSS = 0.03;
    /** Minimum time between two increases on a worker, so that the effect of one shows before the next. */
    private static final Duration RAISE_INTERVAL = Duration.ofMillis(700);

    /**
     * After a latency-critical task has missed its target for this long, all best-effort tasks on its worker are
     * stopped. Missed targets count as violations from 4 s on.
     */
    private static final Duration MAX_TIME_OVER_TARGET = Duration.ofMillis(1500);

    private static final int FULL_SPEED_PERCENT = 100;

    private final JobTable jobTable;
    private final InterferenceModel interferenceModel;

    InterferenceController(JobTable jobTable, InterferenceModel interferenceModel) {
        this.jobTable = jobTable;
        this.interferenceModel = interferenceModel;
    }

    /**
     * Adjusts the best-effort tasks of a worker; {@code claimElsewhere} keeps room for a task on another worker and
     * tells whether there is one.
     */
    void adjust(WorkerNode node, long now, Predicate<TaskEntry> claimElsewhere) {
        List<TaskEntry> latencyCritical = new ArrayList<>();
        List<TaskEntry> bestEffort = new ArrayList<>();
        for (TaskEntry task : node.tasks) {
            if (task.isLatencyCritical()) {
                latencyCritical.add(task);
            } else if (task.step.behaviour().bestEffort() && task.confirmed && !task.stopOrdered) {
                bestEffort.add(task);
            }
        }
        if (bestEffort.isEmpty()) {
            return;
        }
        if (isOverTargetTooLong(latencyCritical, now)) {
            bestEffort.stream()
                    .filter(task -> task.cpuLimitPercent > 0)
                    .forEach(task -> throttleOrMove(node, task, 0, claimElsewhere));
            return;
        }
        Map<String, Double> fullUse = fullUseByImage(node, bestEffort);
        if (interferenceModel.minExpectedHeadroom(node, fullUse) >= LOW_HEADROOM
                && bestEffort.stream().allMatch(task -> task.cpuLimitPercent == FULL_SPEED_PERCENT)) {
            return;
        }
        Map<TaskEntry, Double> lowShares = shares(node, latencyCritical, bestEffort, fullUse, LOW_HEADROOM);
        Map<TaskEntry, Double> highShares = shares(node, latencyCritical, bestEffort, fullUse, HIGH_HEADROOM);
        boolean mayRaise = now - node.cpuLimitRaisedAt >= RAISE_INTERVAL.toNanos();
        for (TaskEntry task : bestEffort) {
            int loweredPercent = percent(lowShares.get(task));
            int raisedPercent = percent(highShares.get(task));
            if (loweredPercent < task.cpuLimitPercent - MIN_CHANGE_PERCENT
                    || (loweredPercent < task.cpuLimitPercent && loweredPercent == 0)) {
                throttleOrMove(node, task, loweredPercent, claimElsewhere);
            } else if (mayRaise
                    && raisedPercent > task.cpuLimitPercent
                    && (raisedPercent >= task.cpuLimitPercent + MIN_CHANGE_PERCENT
                            || raisedPercent == FULL_SPEED_PERCENT)) {
                node.cpuLimitRaisedAt = now;
                setCpuLimit(node, task, raisedPercent);
            }
        }
    }

    /**
     * Returns whether a latency-critical task has missed its target for so long that the model cannot be trusted for
     * this worker.
     */
    private static boolean isOverTargetTooLong(List<TaskEntry> latencyCritical, long now) {
        return latencyCritical.stream()
                .anyMatch(task ->
                        task.overTargetSince != 0 && now - task.overTargetSince > MAX_TIME_OVER_TARGET.toNanos());
    }

    private void throttleOrMove(WorkerNode node, TaskEntry task, int percent, Predicate<TaskEntry> claimElsewhere) {
        if (percent < MOVE_BELOW_SHARE * FULL_SPEED_PERCENT
                && task.step.behaviour().checkpointing()
                && mayStop(task)
                && claimElsewhere.test(task)) {
            jobTable.stop(task, "disturbs-serving");
        } else {
            setCpuLimit(node, task, percent);
        }
    }

    /** Returns whether enough other tasks of the step are at work, if it declares how many may be unavailable. */
    private static boolean mayStop(TaskEntry task) {
        int maxUnavailable = task.step.behaviour().maxUnavailable();
        if (maxUnavailable == 0) {
            return true;
        }
        long unavailable = task.job.tasksByStep.get(task.name.step()).stream()
                .filter(other -> other != task && !other.isAtWork())
                .count();
        return unavailable < maxUnavailable;
    }

    private void setCpuLimit(WorkerNode node, TaskEntry task, int percent) {
        node.setCpuLimit(task, percent);
        jobTable.addOrder(new Order.SetCpuLimit(task.name, task.run, node.id(), node.incarnation(), percent));
    }

    private static int percent(double share) {
        return (int) Math.round(share * FULL_SPEED_PERCENT);
    }

    /** Returns the CPU that the tasks use at full speed, by image, as fractions of the worker's capacity. */
    private static Map<String, Double> fullUseByImage(WorkerNode node, List<TaskEntry> bestEffort) {
        Map<String, Double> useByImage = new HashMap<>();
        for (TaskEntry task : bestEffort) {
            useByImage.merge(
                    task.step.behaviour().image(),
                    node.fractionOfCapacity(task.step.demand().milliCores()),
                    Double::sum);
        }
        return useByImage;
    }

    /**
     * Returns the shares of full speed at which all latency-critical tasks keep a headroom, reducing the tasks that
     * interfere most first.
     */
    private Map<TaskEntry, Double> shares(
            WorkerNode node,
            List<TaskEntry> latencyCritical,
            List<TaskEntry> bestEffort,
            Map<String, Double> fullUse,
            double headroom) {
        Map<TaskEntry, Double> shares = new HashMap<>();
        bestEffort.forEach(task -> shares.put(task, 1.0));
        Map<String, Double> useByImage = new HashMap<>(fullUse);
        for (TaskEntry task : latencyCritical) {
            double missing = headroom - interferenceModel.expectedHeadroom(task, useByImage);
            if (missing <= 0) {
                continue;
            }
            List<TaskEntry> byLossDescending = new ArrayList<>(bestEffort);
            byLossDescending.sort(Comparator.comparingDouble(
                    candidate -> -interferenceModel.headroomLoss(node, candidate, task) * shares.get(candidate)));
            for (TaskEntry throttled : byLossDescending) {
                double loss = interferenceModel.headroomLoss(node, throttled, task);
                double share = shares.get(throttled);
                if (missing <= 0 || loss * share < MIN_HEADROOM_LOSS) {
                    break;
                }
                double reduction = Math.min(share, missing / loss);
                shares.put(throttled, share - reduction);
                useByImage.merge(
                        throttled.step.behaviour().image(),
                        -reduction
                                * node.fractionOfCapacity(
                                        throttled.step.demand().milliCores()),
                        Double::sum);
                missing -= reduction * loss;
            }
        }
        return shares;
    }
}
