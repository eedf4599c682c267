package org.chestnutbarrow.batch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * How much headroom filling tasks of each image take from serving tasks of one image, with the covariance of these
 * weights. Guarded by the lock of its {@link Cell}.
 *
 * <p>Shapes: {@code mean} has one element an image, {@code covariance} is square and symmetric, and {@code parts} holds
 * the use by image in the same order.
 */
final class Weights {
    /** Weight of a pair that was not seen yet, between pairs that disturb, about 7, and those that do not, about 0.7. */
    static final double UNKNOWN = 2.5;

    private static final double UNKNOWN_VARIANCE = 9;
    /** Variance that a weight gains per second beside its tasks, because disturbance changes within seconds. */
    private static final double DRIFT = 0.005;
    /** Bounds weights against reports that fit no model. */
    private static final double MOST = 40;

    private final List<String> images = new ArrayList<>();
    private double[] mean = {};
    private double[][] covariance = {};

    /** The weight of an image. */
    double of(String image) {
        int index = images.indexOf(image);
        return index < 0 ? UNKNOWN : mean[index];
    }

    List<Sensitivity> learned(String serving) {
        List<Sensitivity> result = new ArrayList<>();
        for (int i = 0; i < mean.length; i++) {
            result.add(new Sensitivity(images.get(i), serving, mean[i], covariance[i][i]));
        }
        return result;
    }

    void restore(Sensitivity one) {
        int index = index(one.filling());
        mean[index] = one.weight();
        Arrays.fill(covariance[index], 0);
        for (double[] row : covariance) {
            row[index] = 0;
        }
        covariance[index][index] = one.variance();
    }

    /** The use by image as an array; adds images that are new. */
    double[] parts(Map<String, Double> use) {
        use.keySet().forEach(this::index);
        double[] parts = new double[mean.length];
        use.forEach((image, part) -> parts[index(image)] = part);
        return parts;
    }

    void drift(double[] parts, double seconds) {
        for (int i = 0; i < mean.length; i++) {
            if (parts[i] > 0) {
                covariance[i][i] = Math.min(UNKNOWN_VARIANCE, covariance[i][i] + DRIFT * seconds);
            }
        }
    }

    /** Headroom that is taken by a use. */
    double taken(double[] parts) {
        double sum = 0;
        for (int i = 0; i < mean.length; i++) {
            sum += mean[i] * parts[i];
        }
        return sum;
    }

    /** Variance of the headroom that is taken by a use. */
    double variance(double[] parts) {
        double[] towards = towards(parts);
        double sum = 0;
        for (int i = 0; i < mean.length; i++) {
            sum += towards[i] * parts[i];
        }
        return sum;
    }

    /** Takes an error in the headroom of which {@code variance} is the whole variance. */
    void correct(double[] parts, double error, double variance) {
        double[] towards = towards(parts);
        for (int i = 0; i < mean.length; i++) {
            mean[i] = Math.clamp(mean[i] - towards[i] / variance * error, 0, MOST);
            for (int j = 0; j < mean.length; j++) {
                covariance[i][j] -= towards[i] * towards[j] / variance;
            }
        }
    }

    private double[] towards(double[] parts) {
        double[] towards = new double[mean.length];
        for (int i = 0; i < mean.length; i++) {
            for (int j = 0; j < mean.length; j++) {
                towards[i] += covariance[i][j] * parts[j];
            }
        }
        return towards;
    }

    private int index(String image) {
        int known = images.indexOf(image);
        if (known >= 0) {
            return known;
        }
        int size = images.size() + 1;
        images.add(image);
        mean = Arrays.copyOf(mean, size);
        mean[size - 1] = UNKNOWN;
        covariance = Arrays.copyOf(covariance, size);
        for (int i = 0; i < size; i++) {
            covariance[i] = i < size - 1 ? Arrays.copyOf(covariance[i], size) : new double[size];
        }
        covariance[size - 1][size - 1] = UNKNOWN_VARIANCE;
        return size - 1;
    }
}
