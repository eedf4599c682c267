package org.chestnutbarrow.routing;

import java.util.concurrent.atomic.AtomicInteger;
import org.chestnutbarrow.model.Checks;

/**
 * How a worker is chosen for a request. Safe for use by several threads. All but {@link CheapestOfSampled} are plain
 * baselines for measurements: they know neither latencies nor failures, but never go beyond a worker's capacity either.
 */
public sealed interface Choice {
    /**
     * The cheapest of some random workers.
     *
     * @param samples number of workers that are compared; all are compared if there are no more than that
     */
    record CheapestOfSampled(int samples) implements Choice {
        public CheapestOfSampled {
            Checks.require(samples > 0, "at least one worker must be sampled");
        }
    }

    /** Each worker in turn. */
    final class RoundRobin implements Choice {
        private final AtomicInteger turn = new AtomicInteger();

        /** The index that is next among {@code size} workers. */
        int next(int size) {
            return Math.floorMod(turn.getAndIncrement(), size);
        }
    }

    /** A random worker. */
    record RandomChoice() implements Choice {}

    /** The worker with the fewest requests in flight; the first of equals from a random start. */
    record LeastConnections() implements Choice {}

    /**
     * Reads {@code round-robin}, {@code random}, {@code least-connections} or {@code cheapest-of-N}.
     *
     * @throws IllegalArgumentException if the text is none of these
     */
    static Choice parse(String text) {
        return switch (text) {
            case "round-robin" -> new RoundRobin();
            case "random" -> new RandomChoice();
            case "least-connections" -> new LeastConnections();
            default -> {
                Checks.require(
                        text.matches("cheapest-of-[0-9]{1,6}"),
                        "unknown choice " + text + "; use round-robin, random, least-connections or cheapest-of-N");
                yield new CheapestOfSampled(Integer.parseInt(text.substring("cheapest-of-".length())));
            }
        };
    }
}
