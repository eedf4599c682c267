package org.chestnutbarrow.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how strongly filling tasks of each image lengthen the tails of the serving tasks beside them. The ratio of the
 * worst tail to its target is taken as linear in the parts of the worker that each image uses; the weights follow the
 * reports by normalized least mean squares. Guarded by the lock of its {@link Cell}.
 */
final class Disturbance {
    /** Weight of an image that was not seen yet. */
    private static final double UNKNOWN = 3;
    /** Part of each error that is corrected at once; reports are averages over half a second and noisy. */
    private static final double RATE = 0.15;
    /** Usage below this part of a worker says nothing about an image. */
    private static final double LEAST_USE = 0.02;
    /** Keeps single reports with small usage from moving a weight far. */
    private static final double DAMPING = 0.02;
    /** Ratios above this say no more than that it is far too much. */
    private static final double HIGHEST_RATIO = 4;
    /** Weight of a new report in a worker's ratio without filling tasks. */
    private static final double QUIET_RATE = 0.2;

    private final Map<String, Double> weights = new HashMap<>();

    double weight(String image) {
        return weights.getOrDefault(image, UNKNOWN);
    }

    /** The highest weight of the images that fill the worker. */
    double highest(WorkerNode node) {
        double highest = 0;
        for (TaskEntry task : node.tasks) {
            if (task.step.service().fills()) {
                highest = Math.max(highest, weight(task.step.service().image()));
            }
        }
        return highest;
    }

    /** Parts of the worker in use by each image, as reported. */
    static Map<String, Double> use(WorkerNode node) {
        Map<String, Double> use = new HashMap<>();
        double capacity = Math.max(1, node.entry.capacity().milliCores());
        for (TaskEntry task : node.tasks) {
            if (task.step.service().fills()) {
                use.merge(task.step.service().image(), task.load / capacity, Double::sum);
            }
        }
        return use;
    }

    /** Takes the worst ratio of tail to target that the serving tasks of a worker report. */
    void observe(WorkerNode node, double ratio) {
        double seen = Math.min(ratio, HIGHEST_RATIO);
        Map<String, Double> use = use(node);
        double total = use.values().stream().mapToDouble(Double::doubleValue).sum();
        if (total < LEAST_USE) {
            node.quietRatio += QUIET_RATE * (Math.min(seen, 1) - node.quietRatio);
            return;
        }
        double predicted = node.quietRatio;
        double norm = DAMPING;
        for (Map.Entry<String, Double> part : use.entrySet()) {
            predicted += weight(part.getKey()) * part.getValue();
            norm += part.getValue() * part.getValue();
        }
        double error = seen - predicted;
        for (Map.Entry<String, Double> part : use.entrySet()) {
            double next = weight(part.getKey()) + RATE * error * part.getValue() / norm;
            weights.put(part.getKey(), Math.max(0, next));
        }
    }

    /** The ratio that is expected on a worker when all its filling tasks use what they asked for. */
    double expected(WorkerNode node) {
        double capacity = Math.max(1, node.entry.capacity().milliCores());
        double ratio = node.quietRatio;
        for (TaskEntry task : node.tasks) {
            if (task.step.service().fills()) {
                ratio +=
                        weight(task.step.service().image()) * task.step.demand().milliCores() / capacity;
            }
        }
        return ratio;
    }
}
