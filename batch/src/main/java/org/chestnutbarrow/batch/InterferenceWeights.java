package org.chestnutbarrow.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Estimates how much headroom best-effort tasks of each image take from latency-critical tasks of one image, with the
 * covariance of these weights. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>Invariants: at most {@link #MAX_IMAGES} images are tracked, so that memory and the time for a report are bounded;
 * other images keep the default weight. {@code mean} has one element per tracked image and {@code covariance} is square
 * and symmetric.
 */
final class InterferenceWeights {
    /** Weight of an unobserved pair of images, between interfering pairs (about 7) and others (about 0.7). */
    static final double DEFAULT_WEIGHT = 2.5;

    /** The covariances of this many images take 32 KB, and an update some ten thousand multiplications. */
    static final int MAX_IMAGES = 64;
    /**
     * Time since the last observation after which an image may be forgotten for a new one. Otherwise more images at once
     * than are tracked would replace each other before any weight is learnt.
     */
    static final Duration MIN_RETENTION = Duration.ofSeconds(10);
    /** Longest name of an image that is tracked; names with a digest have about 110 characters. */
    static final int MAX_NAME_LENGTH = 512;

    private static final double INITIAL_VARIANCE = 9;
    /**
     * Process noise: the variance that a weight gains per second of co-location, because interference changes within
     * seconds.
     */
    private static final double PROCESS_NOISE_PER_SECOND = 0.005;
    /** Bounds the weights when reports do not fit the model. */
    private static final double MAX_WEIGHT = 40;

    private final Map<String, Integer> indexes = new HashMap<>();
    private double[] mean = {};
    private double[][] covariance = {};
    /** Time of the last observation of each image, ns. */
    private long[] observedAt = {};

    /**
     * CPU use of best-effort tasks, as fractions of a worker's capacity. Immutable.
     *
     * @param tracked use by the index of the image
     * @param untracked use of all images that are not tracked
     */
    record Use(double[] tracked, double untracked) {}

    /** An estimate and when its pair of images was last observed, ns. */
    record Observed(Sensitivity sensitivity, long at) {}

    /** Returns the weight of an image. */
    double weightOf(String image) {
        Integer index = indexes.get(image);
        return index == null ? DEFAULT_WEIGHT : mean[index];
    }

    /** Returns the estimates for all tracked images. */
    List<Observed> sensitivities(String latencyCriticalImage) {
        List<Observed> result = new ArrayList<>();
        indexes.forEach((image, i) -> result.add(
                new Observed(new Sensitivity(image, latencyCriticalImage, mean[i], covariance[i][i]), observedAt[i])));
        return result;
    }

    /** Restores an estimate as last observed at {@code at}, ns, if there is room for its image. */
    void restore(Sensitivity sensitivity, long at) {
        boolean known = indexes.containsKey(sensitivity.bestEffortImage());
        if ((!known && (indexes.size() >= MAX_IMAGES || !mayTrack(sensitivity.bestEffortImage())))
                || !Double.isFinite(sensitivity.weight())
                || !Double.isFinite(sensitivity.variance())) {
            return;
        }
        int index = known ? indexes.get(sensitivity.bestEffortImage()) : append(sensitivity.bestEffortImage());
        reset(index, sensitivity.weight(), sensitivity.variance());
        observedAt[index] = at;
    }

    static boolean mayTrack(String image) {
        return image.length() <= MAX_NAME_LENGTH;
    }

    /**
     * Converts the use by image at {@code now}, ns, after adding images that are new. If there is no room for one, the
     * image that was observed longest ago is forgotten, unless that was within {@link #MIN_RETENTION}.
     */
    Use use(Map<String, Double> useByImage, long now) {
        // Images that are used now are marked first, so that none of them is forgotten for another.
        useByImage.keySet().forEach(image -> {
            Integer index = indexes.get(image);
            if (index != null) {
                observedAt[index] = now;
            }
        });
        Map<Integer, Double> byIndex = new HashMap<>();
        double untracked = 0;
        for (Map.Entry<String, Double> use : useByImage.entrySet()) {
            OptionalInt index = indexOf(use.getKey(), now);
            if (index.isPresent()) {
                byIndex.put(index.getAsInt(), use.getValue());
            } else {
                untracked += use.getValue();
            }
        }
        double[] tracked = new double[mean.length];
        byIndex.forEach((index, fraction) -> tracked[index] = fraction);
        return new Use(tracked, untracked);
    }

    void addProcessNoise(Use use, double seconds) {
        for (int i = 0; i < mean.length; i++) {
            if (use.tracked()[i] > 0) {
                covariance[i][i] = Math.min(INITIAL_VARIANCE, covariance[i][i] + PROCESS_NOISE_PER_SECOND * seconds);
            }
        }
    }

    /** Returns the headroom lost to a CPU use. */
    double headroomLoss(Use use) {
        double sum = DEFAULT_WEIGHT * use.untracked();
        for (int i = 0; i < mean.length; i++) {
            sum += mean[i] * use.tracked()[i];
        }
        return sum;
    }

    /** Returns the variance of the headroom lost to a CPU use. */
    double headroomLossVariance(Use use) {
        double[] covarianceWithLoss = covarianceWithLoss(use);
        double sum = INITIAL_VARIANCE * use.untracked() * use.untracked();
        for (int i = 0; i < mean.length; i++) {
            sum += covarianceWithLoss[i] * use.tracked()[i];
        }
        return sum;
    }

    /** Updates the weights with their share of a prediction error whose variance is {@code totalVariance}. */
    void update(Use use, double error, double totalVariance) {
        double[] covarianceWithLoss = covarianceWithLoss(use);
        for (int i = 0; i < mean.length; i++) {
            mean[i] = Math.clamp(mean[i] - covarianceWithLoss[i] / totalVariance * error, 0, MAX_WEIGHT);
            for (int j = 0; j < mean.length; j++) {
                covariance[i][j] -= covarianceWithLoss[i] * covarianceWithLoss[j] / totalVariance;
            }
        }
    }

    private double[] covarianceWithLoss(Use use) {
        double[] result = new double[mean.length];
        for (int i = 0; i < mean.length; i++) {
            for (int j = 0; j < mean.length; j++) {
                result[i] += covariance[i][j] * use.tracked()[j];
            }
        }
        return result;
    }

    /** Returns the index of an image, which is added if it is new; empty if it cannot be tracked. */
    private OptionalInt indexOf(String image, long now) {
        Integer known = indexes.get(image);
        if (known != null) {
            return OptionalInt.of(known);
        }
        if (!mayTrack(image)) {
            return OptionalInt.empty();
        }
        int index;
        if (indexes.size() < MAX_IMAGES) {
            index = append(image);
        } else {
            Map.Entry<String, Integer> oldest = longestUnobserved();
            if (now - observedAt[oldest.getValue()] < MIN_RETENTION.toNanos()) {
                return OptionalInt.empty();
            }
            index = oldest.getValue();
            indexes.remove(oldest.getKey());
            indexes.put(image, index);
        }
        reset(index, DEFAULT_WEIGHT, INITIAL_VARIANCE);
        observedAt[index] = now;
        return OptionalInt.of(index);
    }

    private Map.Entry<String, Integer> longestUnobserved() {
        return indexes.entrySet().stream()
                .min((a, b) -> Long.signum(observedAt[a.getValue()] - observedAt[b.getValue()]))
                .orElseThrow();
    }

    private int append(String image) {
        int index = mean.length;
        indexes.put(image, index);
        mean = Arrays.copyOf(mean, index + 1);
        observedAt = Arrays.copyOf(observedAt, index + 1);
        covariance = Arrays.copyOf(covariance, index + 1);
        for (int i = 0; i < index; i++) {
            covariance[i] = Arrays.copyOf(covariance[i], index + 1);
        }
        covariance[index] = new double[index + 1];
        return index;
    }

    /** Sets the estimate for an image, independent of those for the others. */
    private void reset(int index, double weight, double variance) {
        mean[index] = weight;
        Arrays.fill(covariance[index], 0);
        for (double[] row : covariance) {
            row[index] = 0;
        }
        covariance[index][index] = variance;
    }
}
