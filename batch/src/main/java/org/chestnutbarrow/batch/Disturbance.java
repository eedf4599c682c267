package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns how strongly filling tasks of each image disturb serving tasks of each image beside them. Guarded by the lock of
 * its {@link Cell}.
 *
 * <p>Headroom is the target of a serving task divided by its reported tail; below 1 the task misses its target. The tail
 * of a queue grows with the reciprocal of the free part of its server, so headroom falls linearly in the load of the task
 * and in the processor time that each filling image uses: {@code headroom = calm - sum(weight * use)}. The calm part of
 * each task and the weights of the pairs of images follow the reports by a Kalman filter.
 */
final class Disturbance {
    /** Variance of the headroom in one report, an average over half a second. */
    private static final double NOISE = 0.3;
    /** Reports closer together than this overlap in most of what they average. */
    private static final Duration APART = Duration.ofMillis(300);
    /** Tails that are much shorter than the target carry no more information. */
    private static final double MOST_HEADROOM = 6;
    /** Disturbance swings for seconds at a time, so more is allowed for than the mean of what a new task takes. */
    private static final double CAUTION = 1.6;
    /** A filling task that takes less headroom than this takes none that can be measured. */
    private static final double LEAST_TAKEN = 0.02;
    /** Headroom before the first report: half loaded, with a target of five times the tail without load. */
    private static final double FIRST_TYPICAL = 2.75;
    /** Part of the distance by which the typical headroom follows one report of a task without filling tasks. */
    private static final double TYPICAL_RATE = 0.01;

    /** Weights by the image of the serving tasks. */
    private final Map<String, Weights> weights = new HashMap<>();

    private double typical = FIRST_TYPICAL;

    private double weight(String filling, String serving) {
        Weights known = weights.get(serving);
        return known == null ? Weights.UNKNOWN : known.of(filling);
    }

    /** What was learned so far. */
    List<Sensitivity> learned() {
        List<Sensitivity> result = new ArrayList<>();
        weights.forEach((serving, known) -> result.addAll(known.learned(serving)));
        return result;
    }

    /** Goes on from what an earlier owner learned. */
    void restore(List<Sensitivity> learned) {
        for (Sensitivity one : learned) {
            weights.computeIfAbsent(one.serving(), _ -> new Weights()).restore(one);
        }
    }

    /** Takes what the tasks on a worker report. */
    void observe(WorkerNode node, long now) {
        if (now - node.observedAt < APART.toNanos()) {
            return;
        }
        double seconds = Math.min(2, (now - node.observedAt) / 1e9);
        node.observedAt = now;
        Map<String, Double> use = node.use();
        for (TaskEntry task : node.tasks) {
            if (task.seen && task.load > 0 && task.serves() && task.percent >= 100) {
                learn(task, use, seconds);
            }
        }
        node.learned();
    }

    private void learn(TaskEntry task, Map<String, Double> use, double seconds) {
        Calm calm = task.calm;
        calm.advance(seconds, typical);
        double headroom = Math.min(MOST_HEADROOM, task.headroom());
        if (use.isEmpty()) {
            typical += TYPICAL_RATE * (headroom - typical);
        }
        Weights known = weights.computeIfAbsent(task.step.service().image(), _ -> new Weights());
        double[] parts = known.parts(use);
        known.drift(parts, seconds);
        // Single reports deviate widely, so an error counts up to one standard deviation.
        double variance = known.variance(parts) + calm.variance() + NOISE;
        double deviation = Math.sqrt(variance);
        double error =
                Math.clamp(headroom - Math.max(0, calm.level(typical) - known.taken(parts)), -deviation, deviation);
        known.correct(parts, error, variance);
        calm.correct(error, variance);
    }

    /** Headroom that a filling task takes from a serving task on the same worker, at full speed. */
    double taken(WorkerNode node, TaskEntry filling, TaskEntry serving) {
        return weight(filling.step.service().image(), serving.step.service().image())
                * node.part(filling.step.demand().milliCores());
    }

    /**
     * Headroom that a serving task is expected to keep.
     *
     * @param filling processor time of the filling tasks by image, as parts of the worker
     */
    double expected(TaskEntry serving, Map<String, Double> filling) {
        return expected(serving.step.service().image(), serving.calm.level(typical), filling);
    }

    private double expected(String serving, double calm, Map<String, Double> filling) {
        double headroom = calm;
        for (Map.Entry<String, Double> part : filling.entrySet()) {
            headroom -= weight(part.getKey(), serving) * part.getValue();
        }
        return headroom;
    }

    /** Headroom that each serving task of a worker is expected to keep at least. */
    double least(WorkerNode node, Map<String, Double> filling) {
        double least = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, Calm.Least> serving : node.leastCalm().entrySet()) {
            double calm = serving.getValue().level(typical);
            least = Math.min(least, expected(serving.getKey(), calm, filling));
        }
        return least;
    }

    /**
     * The share of its speed, up to 1, at which one more filling task leaves all serving tasks a headroom; it asks for
     * {@code milliCores} and runs {@code image}.
     */
    double share(WorkerNode node, String image, int milliCores, double headroom) {
        double part = node.part(milliCores);
        double share = 1;
        for (Map.Entry<String, Calm.Least> serving : node.leastCalm().entrySet()) {
            double calm = serving.getValue().level(typical);
            double spare = expected(serving.getKey(), calm, node.demanded()) - headroom;
            share = Math.min(share, spare / Math.max(LEAST_TAKEN, CAUTION * weight(image, serving.getKey()) * part));
        }
        return share;
    }
}
