package org.chestnutbarrow.interference;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * What was learnt of all workers together: the undisturbed latency, and how much each batch class adds to it. Safe for
 * use by several threads, under its own lock.
 *
 * <p>The model is linear: latency over undisturbed latency, minus one, is the sum over classes of slope times share of
 * the processor time. Slopes follow the reports by normalized least mean squares (Widrow and Hoff).
 */
final class SensitivityModel {
    /** Slope of a class that was not seen yet; pessimistic, so that unknown classes are watched. */
    static final double INITIAL_SLOPE = 2;

    /** Reports with less task share than this count as undisturbed. */
    private static final double BASELINE_MAX_TASK_SHARE = 0.05;

    private static final double LEARNING_RATE = 0.1;
    private static final double BASELINE_WEIGHT = 0.1;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Double> slopes = new HashMap<>();
    private double baselineNanos;

    /** Takes a report of a worker that served requests. */
    void learn(WorkerReport report) {
        lock.lock();
        try {
            double latency = report.latencyP99().toNanos();
            if (report.taskShare() < BASELINE_MAX_TASK_SHARE) {
                baselineNanos =
                        baselineNanos == 0 ? latency : baselineNanos + BASELINE_WEIGHT * (latency - baselineNanos);
                return;
            }
            if (baselineNanos > 0) {
                updateSlopes(shareByClass(report), latency / baselineNanos - 1);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Latency over the undisturbed latency; empty while that is unknown. */
    Optional<Double> latencyRatio(WorkerReport report) {
        lock.lock();
        try {
            return baselineNanos == 0
                    ? Optional.empty()
                    : Optional.of(report.latencyP99().toNanos() / baselineNanos);
        } finally {
            lock.unlock();
        }
    }

    /** How much a task is estimated to add to the latency ratio. */
    double contribution(TaskLoad task, int capacityMilliCores) {
        lock.lock();
        try {
            return slopes.getOrDefault(task.workClass(), INITIAL_SLOPE) * task.milliCores() / capacityMilliCores;
        } finally {
            lock.unlock();
        }
    }

    private static Map<String, Double> shareByClass(WorkerReport report) {
        Map<String, Double> shares = new HashMap<>();
        for (TaskLoad task : report.tasks()) {
            shares.merge(task.workClass(), (double) task.milliCores() / report.capacityMilliCores(), Double::sum);
        }
        return shares;
    }

    private void updateSlopes(Map<String, Double> shares, double excess) {
        double predicted = 0;
        double power = 0;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            predicted += slopes.getOrDefault(share.getKey(), INITIAL_SLOPE) * share.getValue();
            power += share.getValue() * share.getValue();
        }
        if (power == 0) {
            return;
        }
        double step = LEARNING_RATE * (excess - predicted) / power;
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            double slope = slopes.getOrDefault(share.getKey(), INITIAL_SLOPE) + step * share.getValue();
            slopes.put(share.getKey(), Math.max(0, slope));
        }
    }
}
