package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Learns how strongly best-effort tasks of each image interfere with latency-critical tasks of each image on the same
 * worker. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Headroom is the latency target of a task divided by its reported tail latency; below 1 the task misses its target.
 * The tail latency of a queue is inversely proportional to the idle fraction of its server, so headroom falls linearly
 * with the load of the task and with the CPU use of each best-effort image: {@code headroom = baseline - sum(weight *
 * use)}. A Kalman filter estimates the baseline of each task and the weight of each pair of images from the reports.
 *
 * <p>Invariant: weights are kept for at most {@link #MAX_LATENCY_CRITICAL_IMAGES} latency-critical images, so that memory
 * stays bounded although images change with each version of a program.
 */
final class InterferenceModel {
    /** Variance of the headroom in one report, which is an average over 0.5 s. */
    private static final double REPORT_VARIANCE = 0.3;
    /** Reports closer together than this average mostly the same interval. */
    private static final Duration MIN_REPORT_INTERVAL = Duration.ofMillis(300);
    /** Headroom is capped here, since tail latencies far below the target carry no further information. */
    private static final double MAX_HEADROOM = 6;
    /**
     * Factor on the expected headroom loss of a new task, since interference varies over several seconds and exceeds
     * its mean.
     */
    private static final double SAFETY_FACTOR = 1.6;
    /** Headroom loss below which interference cannot be measured. */
    private static final double MIN_HEADROOM_LOSS = 0.02;
    /**
     * Headroom assumed before the first report: a half-loaded task whose target is five times its unloaded tail
     * latency.
     */
    private static final double INITIAL_TYPICAL_HEADROOM = 2.75;
    /**
     * Smoothing factor with which the typical headroom follows each report of a task without best-effort tasks on its
     * worker.
     */
    private static final double TYPICAL_HEADROOM_RATE = 0.01;

    /** The weights of this many images take 2 MB. */
    static final int MAX_LATENCY_CRITICAL_IMAGES = 64;

    /** Weights by the image of the latency-critical tasks, and when the image last reported. */
    private record Learnt(InterferenceWeights weights, long reportedAt) {}

    /** What was learnt, by the image of the latency-critical tasks. */
    private final Map<String, Learnt> learntByImage = new HashMap<>();

    private double typicalHeadroom = INITIAL_TYPICAL_HEADROOM;
    /** Reports of latency-critical tasks that the estimates were updated from. */
    private long learntReports;
    /** Those of them that were made beside best-effort tasks, which are the ones that weights are learnt from. */
    private long learntReportsBesideBestEffort;

    /** Returns the headroom that is assumed for latency-critical tasks without a report. */
    double typicalHeadroom() {
        return typicalHeadroom;
    }

    long learntReports() {
        return learntReports;
    }

    long learntReportsBesideBestEffort() {
        return learntReportsBesideBestEffort;
    }

    /** Returns the strongest weight of a best-effort image on the latency-critical images that have reported. */
    double maxWeight(String bestEffortImage) {
        return learntByImage.values().stream()
                .mapToDouble(learnt -> learnt.weights().weightOf(bestEffortImage))
                .max()
                .orElse(InterferenceWeights.DEFAULT_WEIGHT);
    }

    private double weight(String bestEffortImage, String latencyCriticalImage) {
        Learnt learnt = learntByImage.get(latencyCriticalImage);
        return learnt == null
                ? InterferenceWeights.DEFAULT_WEIGHT
                : learnt.weights().weightOf(bestEffortImage);
    }

    /** Returns the current estimates, those of the pairs that were observed last first. */
    List<Sensitivity> sensitivities() {
        List<InterferenceWeights.Observed> observed = new ArrayList<>();
        learntByImage.forEach(
                (image, learnt) -> observed.addAll(learnt.weights().sensitivities(image)));
        return observed.stream()
                .sorted((a, b) -> Long.signum(b.at() - a.at()))
                .map(InterferenceWeights.Observed::sensitivity)
                .toList();
    }

    /**
     * Restores the estimates that an earlier owner stored, as far as there is room. They may be forgotten for the first
     * images that are observed.
     */
    void restore(List<Sensitivity> sensitivities, long now) {
        long at = now - InterferenceWeights.MIN_RETENTION.toNanos();
        for (Sensitivity sensitivity : sensitivities) {
            String image = sensitivity.latencyCriticalImage();
            if (!learntByImage.containsKey(image)) {
                if (learntByImage.size() >= MAX_LATENCY_CRITICAL_IMAGES || !InterferenceWeights.mayTrack(image)) {
                    continue;
                }
                learntByImage.put(image, new Learnt(new InterferenceWeights(), at));
            }
            learntByImage.get(image).weights().restore(sensitivity, at);
        }
    }

    /** Updates the estimates from the last report of a worker. */
    void observe(WorkerNode node, long now) {
        if (now - node.interferenceObservedAt < MIN_REPORT_INTERVAL.toNanos()) {
            return;
        }
        double seconds = Math.min(2, (now - node.interferenceObservedAt) / 1e9);
        node.interferenceObservedAt = now;
        Map<String, Double> useByImage = node.bestEffortUseByImage();
        for (TaskEntry task : node.tasks) {
            if (task.confirmed && task.loadMetric > 0 && task.isLatencyCritical() && task.progressPercent >= 100) {
                updateEstimates(task, useByImage, seconds, now);
            }
        }
        node.baselinesChanged();
    }

    /**
     * Returns the weights of a latency-critical image that reports now. If there is no room for a new one, the image that
     * reported longest ago is forgotten; if all have reported lately, what is learnt from this report is not kept.
     */
    private InterferenceWeights weightsFor(String image, long now) {
        Learnt known = learntByImage.get(image);
        InterferenceWeights weights = known == null ? new InterferenceWeights() : known.weights();
        if (known == null && !InterferenceWeights.mayTrack(image)) {
            return weights;
        }
        if (known == null && learntByImage.size() >= MAX_LATENCY_CRITICAL_IMAGES) {
            Map.Entry<String, Learnt> oldest = learntByImage.entrySet().stream()
                    .min((a, b) ->
                            Long.signum(a.getValue().reportedAt() - b.getValue().reportedAt()))
                    .orElseThrow();
            if (now - oldest.getValue().reportedAt() < InterferenceWeights.MIN_RETENTION.toNanos()) {
                return weights;
            }
            learntByImage.remove(oldest.getKey());
        }
        learntByImage.put(image, new Learnt(weights, now));
        return weights;
    }

    private void updateEstimates(TaskEntry task, Map<String, Double> useByImage, double seconds, long now) {
        learntReports++;
        learntReportsBesideBestEffort += useByImage.isEmpty() ? 0 : 1;
        BaselineHeadroom baseline = task.baseline;
        baseline.predict(seconds, typicalHeadroom);
        double headroom = Math.min(MAX_HEADROOM, task.headroom());
        if (useByImage.isEmpty()) {
            typicalHeadroom += TYPICAL_HEADROOM_RATE * (headroom - typicalHeadroom);
        }
        InterferenceWeights weights = weightsFor(task.step.behaviour().image(), now);
        InterferenceWeights.Use use = weights.use(useByImage, now);
        weights.addProcessNoise(use, seconds);
        // Single reports are noisy, so the error is clamped to one standard deviation.
        double variance = weights.headroomLossVariance(use) + baseline.variance() + REPORT_VARIANCE;
        double deviation = Math.sqrt(variance);
        double error = Math.clamp(
                headroom - Math.max(0, baseline.level(typicalHeadroom) - weights.headroomLoss(use)),
                -deviation,
                deviation);
        weights.update(use, error, variance);
        baseline.update(error, variance);
    }

    /**
     * Returns the headroom that a best-effort task at full speed takes from a latency-critical task on the same worker.
     */
    double headroomLoss(WorkerNode node, TaskEntry bestEffort, TaskEntry latencyCritical) {
        return weight(
                        bestEffort.step.behaviour().image(),
                        latencyCritical.step.behaviour().image())
                * node.fractionOfCapacity(bestEffort.step.demand().milliCores());
    }

    /**
     * Returns the headroom that a latency-critical task is expected to have.
     *
     * @param useByImage CPU use of the best-effort tasks by image, as fractions of the worker's capacity
     */
    double expectedHeadroom(TaskEntry latencyCritical, Map<String, Double> useByImage) {
        return expectedHeadroom(
                latencyCritical.step.behaviour().image(), latencyCritical.baseline.level(typicalHeadroom), useByImage);
    }

    private double expectedHeadroom(String latencyCriticalImage, double baseline, Map<String, Double> useByImage) {
        double headroom = baseline;
        for (Map.Entry<String, Double> use : useByImage.entrySet()) {
            headroom -= weight(use.getKey(), latencyCriticalImage) * use.getValue();
        }
        return headroom;
    }

    /** Returns the lowest headroom that any latency-critical task of a worker is expected to have. */
    double minExpectedHeadroom(WorkerNode node, Map<String, Double> useByImage) {
        double minimum = Double.POSITIVE_INFINITY;
        for (Map.Entry<String, BaselineHeadroom.Minimum> entry :
                node.minBaselineByImage().entrySet()) {
            double baseline = entry.getValue().level(typicalHeadroom);
            minimum = Math.min(minimum, expectedHeadroom(entry.getKey(), baseline, useByImage));
        }
        return minimum;
    }

    /**
     * Returns the share of full speed, up to 1, at which an additional best-effort task leaves {@code headroom} to all
     * latency-critical tasks of a worker. The task runs {@code image} and uses {@code milliCores} at full speed.
     */
    double allowedShare(WorkerNode node, String image, int milliCores, double headroom) {
        double fraction = node.fractionOfCapacity(milliCores);
        double share = 1;
        for (Map.Entry<String, BaselineHeadroom.Minimum> entry :
                node.minBaselineByImage().entrySet()) {
            double baseline = entry.getValue().level(typicalHeadroom);
            double spare = expectedHeadroom(entry.getKey(), baseline, node.bestEffortDemandByImage()) - headroom;
            share = Math.min(
                    share,
                    spare / Math.max(MIN_HEADROOM_LOSS, SAFETY_FACTOR * weight(image, entry.getKey()) * fraction));
        }
        return share;
    }
}
