package org.chestnutbarrow.batch;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how strongly filling tasks of each image lengthen the tails of serving tasks of each image beside them. The
 * ratio of a tail to its target is taken as linear in the parts of the worker that the filling images use; the weights
 * follow the reports by normalized least mean squares. Guarded by the lock of its {@link Cell}.
 */
final class Disturbance {
    /** Weight of a pair that was not seen yet: low enough that one task is tried, high enough that few are. */
    private static final double UNKNOWN = 2;
    /** Part of each error that is corrected at once; reports are averages over half a second and noisy. */
    private static final double RATE = 0.15;
    /** Usage below this part of a worker says nothing about an image. */
    private static final double LEAST_USE = 0.02;
    /** Keeps single reports with small usage from moving a weight far. */
    private static final double DAMPING = 0.02;
    /** Ratios above this say no more than that it is far too much. */
    private static final double HIGHEST_RATIO = 4;
    /** Ratio of a serving task without filling tasks beside it; calm tasks report 0.2 to 0.6 of their targets. */
    private static final double QUIET = 0.45;

    private record Pair(String filling, String serving) {}

    private final Map<Pair, Double> weights = new HashMap<>();

    private double weight(String filling, String serving) {
        return weights.getOrDefault(new Pair(filling, serving), UNKNOWN);
    }

    /** Takes what the tasks on a worker report. */
    void observe(WorkerNode node) {
        Map<String, Double> use = use(node);
        double total = use.values().stream().mapToDouble(Double::doubleValue).sum();
        if (total < LEAST_USE) {
            return;
        }
        for (TaskEntry task : node.tasks) {
            if (task.seen && task.load > 0 && task.step.service().targetMs() > 0) {
                learn(task.step.service().image(), use, task.tailRatio());
            }
        }
    }

    private void learn(String serving, Map<String, Double> use, double ratio) {
        double predicted = QUIET;
        double norm = DAMPING;
        for (Map.Entry<String, Double> part : use.entrySet()) {
            predicted += weight(part.getKey(), serving) * part.getValue();
            norm += part.getValue() * part.getValue();
        }
        double error = Math.min(ratio, HIGHEST_RATIO) - predicted;
        for (Map.Entry<String, Double> part : use.entrySet()) {
            double next = weight(part.getKey(), serving) + RATE * error * part.getValue() / norm;
            weights.put(new Pair(part.getKey(), serving), Math.max(0, next));
        }
    }

    /** Parts of the worker in use by each image, as reported. */
    private static Map<String, Double> use(WorkerNode node) {
        Map<String, Double> use = new HashMap<>();
        for (TaskEntry task : node.tasks) {
            if (task.step.service().fills()) {
                use.merge(task.step.service().image(), node.part(task.load), Double::sum);
            }
        }
        return use;
    }

    /** The highest ratio that is expected on a worker if it runs one more task and all use what they asked for. */
    double expected(WorkerNode node, TaskEntry more) {
        double highest = 0;
        for (String serving : node.servingImages()) {
            double ratio = QUIET
                    + weight(more.step.service().image(), serving)
                            * node.part(more.step.demand().milliCores());
            for (Map.Entry<String, Long> filling : node.fillingImages().entrySet()) {
                ratio += weight(filling.getKey(), serving) * node.part(filling.getValue());
            }
            highest = Math.max(highest, ratio);
        }
        return highest;
    }

    /** How strongly a filling task disturbs the serving tasks of a worker that are worst off by it. */
    double weight(WorkerNode node, TaskEntry filling) {
        double highest = 0;
        for (String serving : node.servingImages()) {
            highest = Math.max(highest, weight(filling.step.service().image(), serving));
        }
        return highest;
    }

    /** The highest weight of the filling tasks on a worker. */
    double highest(WorkerNode node) {
        double highest = 0;
        for (TaskEntry task : node.tasks) {
            if (task.step.service().fills()) {
                highest = Math.max(highest, weight(node, task));
            }
        }
        return highest;
    }
}
