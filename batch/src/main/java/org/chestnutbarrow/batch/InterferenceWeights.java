package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Estimates how much headroom best-effort tasks of each image take from latency-critical tasks of one image, with the
 * covariance of these weights. Guarded by the lock of its {@link BatchScheduler}.
 *
 * <p>{@code mean} has one element per image and {@code covariance} is square and symmetric; {@code use} vectors hold
 * the CPU use by image in the same order.
 */
final class InterferenceWeights {
    /** Weight of an unobserved pair of images, between interfering pairs (about 7) and others (about 0.7). */
    static final double DEFAULT_WEIGHT = 2.5;

    private static final double INITIAL_VARIANCE = 9;
    /**
     * Process noise: the variance that a weight gains per second of co-location, because interference changes within
     * seconds.
     */
    private static final double PROCESS_NOISE_PER_SECOND = 0.005;
    /** Bounds the weights when reports do not fit the model. */
    private static final double MAX_WEIGHT = 40;

    private final List<String> images = new ArrayList<>();
    private double[] mean = {};
    private double[][] covariance = {};

    /** Returns the weight of an image. */
    double weightOf(String image) {
        int index = images.indexOf(image);
        return index < 0 ? DEFAULT_WEIGHT : mean[index];
    }

    List<Sensitivity> sensitivities(String latencyCriticalImage) {
        List<Sensitivity> result = new ArrayList<>();
        for (int i = 0; i < mean.length; i++) {
            result.add(new Sensitivity(images.get(i), latencyCriticalImage, mean[i], covariance[i][i]));
        }
        return result;
    }

    void restore(Sensitivity sensitivity) {
        int index = indexOf(sensitivity.bestEffortImage());
        mean[index] = sensitivity.weight();
        Arrays.fill(covariance[index], 0);
        for (double[] row : covariance) {
            row[index] = 0;
        }
        covariance[index][index] = sensitivity.variance();
    }

    /** Converts the use by image to a vector, after adding images that are new. */
    double[] useVector(Map<String, Double> useByImage) {
        useByImage.keySet().forEach(this::indexOf);
        double[] use = new double[mean.length];
        useByImage.forEach((image, fraction) -> use[indexOf(image)] = fraction);
        return use;
    }

    void addProcessNoise(double[] use, double seconds) {
        for (int i = 0; i < mean.length; i++) {
            if (use[i] > 0) {
                covariance[i][i] = Math.min(INITIAL_VARIANCE, covariance[i][i] + PROCESS_NOISE_PER_SECOND * seconds);
            }
        }
    }

    /** Returns the headroom lost to a CPU use. */
    double headroomLoss(double[] use) {
        double sum = 0;
        for (int i = 0; i < mean.length; i++) {
            sum += mean[i] * use[i];
        }
        return sum;
    }

    /** Returns the variance of the headroom lost to a CPU use. */
    double headroomLossVariance(double[] use) {
        double[] covarianceWithLoss = covarianceWithLoss(use);
        double sum = 0;
        for (int i = 0; i < mean.length; i++) {
            sum += covarianceWithLoss[i] * use[i];
        }
        return sum;
    }

    /** Updates the weights with their share of a prediction error whose variance is {@code totalVariance}. */
    void update(double[] use, double error, double totalVariance) {
        double[] covarianceWithLoss = covarianceWithLoss(use);
        for (int i = 0; i < mean.length; i++) {
            mean[i] = Math.clamp(mean[i] - covarianceWithLoss[i] / totalVariance * error, 0, MAX_WEIGHT);
            for (int j = 0; j < mean.length; j++) {
                covariance[i][j] -= covarianceWithLoss[i] * covarianceWithLoss[j] / totalVariance;
            }
        }
    }

    private double[] covarianceWithLoss(double[] use) {
        double[] result = new double[mean.length];
        for (int i = 0; i < mean.length; i++) {
            for (int j = 0; j < mean.length; j++) {
                result[i] += covariance[i][j] * use[j];
            }
        }
        return result;
    }

    private int indexOf(String image) {
        int index = images.indexOf(image);
        if (index >= 0) {
            return index;
        }
        int size = images.size() + 1;
        images.add(image);
        mean = Arrays.copyOf(mean, size);
        mean[size - 1] = DEFAULT_WEIGHT;
        covariance = Arrays.copyOf(covariance, size);
        for (int i = 0; i < size; i++) {
            covariance[i] = i < size - 1 ? Arrays.copyOf(covariance[i], size) : new double[size];
        }
        covariance[size - 1][size - 1] = INITIAL_VARIANCE;
        return size - 1;
    }
}
