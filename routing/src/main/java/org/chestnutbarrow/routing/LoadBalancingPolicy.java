package org.chestnutbarrow.routing;

import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.Checks;

/**
 * How a worker is selected for a request. Safe for use by several threads. All policies but {@link LowestCostOfSample}
 * are baselines for measurements: they ignore latencies and failures, but still respect the capacity of workers.
 */
public sealed interface LoadBalancingPolicy {
    /**
     * Selects the worker with the lowest cost from a random sample.
     *
     * @param sampleSize number of workers to compare; all are compared if there are no more than that
     */
    record LowestCostOfSample(int sampleSize) implements LoadBalancingPolicy {
        public LowestCostOfSample {
            Checks.require(sampleSize > 0, "at least one worker must be sampled");
        }
    }

    /** Selects each worker in turn. */
    final class RoundRobin implements LoadBalancingPolicy {
        private final AtomicInteger nextIndex = new AtomicInteger();

        /** Returns the next index among {@code workerCount} workers. */
        int nextIndex(int workerCount) {
            return Math.floorMod(nextIndex.getAndIncrement(), workerCount);
        }
    }

    /** Selects a random worker. */
    record RandomWorker() implements LoadBalancingPolicy {}

    /** Selects the worker with the fewest requests in flight; ties go to the first one from a random start. */
    record LeastConnections() implements LoadBalancingPolicy {}

    /**
     * Parses {@code round-robin}, {@code random}, {@code least-connections} or {@code cheapest-of-N}.
     *
     * @throws IllegalArgumentException if the text is none of these
     */
    static LoadBalancingPolicy parse(String text) {
        return switch (text) {
            case "round-robin" -> new RoundRobin();
            case "random" -> new RandomWorker();
            case "least-connections" -> new LeastConnections();
            default -> {
                Checks.require(
                        text.matches("cheapest-of-[0-9]{1,6}"),
                        "unknown load-balancing policy " + text
                                + "; use round-robin, random, least-connections or cheapest-of-N");
                yield new LowestCostOfSample(Integer.parseInt(text.substring("cheapest-of-".length())));
            }
        };
    }
}
