package org.chestnutbarrow.interference;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Estimates, from the reports of all workers, the latency without interference and how much each batch class adds to
 * it. Thread-safe; all state is guarded by one lock.
 *
 * <p>The model is linear: the ratio of the latency to the baseline latency, minus one, is the sum over all classes of
 * the slope of the class times its share of the processor time. The slopes are fitted by normalized least mean squares
 * (Widrow and Hoff).
 */
final class SensitivityModel {
    /** Slope assumed for a class without reports; pessimistic, so that an unknown class is assumed to interfere. */
    static final double INITIAL_SLOPE = 2;

    /** Maximum share of the processor time used by tasks up to which a report updates the baseline latency. */
    private static final double BASELINE_MAX_TASK_SHARE = 0.05;

    private static final double LEARNING_RATE = 0.1;
    private static final double BASELINE_WEIGHT = 0.1;

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, Double> slopes = new HashMap<>();
    private double baselineNanos;

    /** Updates the model from the report of a worker that served requests. */
    void learn(WorkerUsageReport report) {
        lock.lock();
        try {
            double latencyNanos = report.latencyP99().toNanos();
            if (report.taskShare() < BASELINE_MAX_TASK_SHARE) {
                baselineNanos = baselineNanos == 0
                        ? latencyNanos
                        : baselineNanos + BASELINE_WEIGHT * (latencyNanos - baselineNanos);
                return;
            }
            if (baselineNanos > 0) {
                updateSlopes(shareByClass(report), latencyNanos / baselineNanos - 1);
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns the ratio of the reported latency to the baseline latency; empty while the baseline is unknown. */
    Optional<Double> latencyRatio(WorkerUsageReport report) {
        lock.lock();
        try {
            return baselineNanos == 0
                    ? Optional.empty()
                    : Optional.of(report.latencyP99().toNanos() / baselineNanos);
        } finally {
            lock.unlock();
        }
    }

    /** Returns the estimated contribution of a task to the latency ratio. */
    double contribution(TaskLoad task, int capacityMilliCores) {
        lock.lock();
        try {
            return slopes.getOrDefault(task.workClass(), INITIAL_SLOPE) * task.milliCores() / capacityMilliCores;
        } finally {
            lock.unlock();
        }
    }

    private static Map<String, Double> shareByClass(WorkerUsageReport report) {
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
