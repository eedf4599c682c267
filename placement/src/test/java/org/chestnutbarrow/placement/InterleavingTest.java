package org.chestnutbarrow.placement;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Runs {@link Simulation} with many seeds, each of which gives another order of events. Guards against two active
 * attempts of a task, resuming from a wrong checkpoint, tasks that never end and exceeded quotas. The same seeds are
 * used on each run; {@code -Dplacement.seed=N} repeats a single one, {@code -Dplacement.first=N} and {@code
 * -Dplacement.orders=N} select another range.
 */
public class InterleavingTest {
    /** Seeds that violated an invariant in earlier versions. */
    private static final long[] REGRESSION_SEEDS = {1_004_428_142L, 4_571, 5_079, 17, 42, 57};

    @Test
    public void keepsInvariantsInRandomEventOrders() {
        Long onlySeed = Long.getLong("placement.seed");
        long firstSeed = onlySeed != null ? onlySeed : Long.getLong("placement.first", 1);
        int orders = onlySeed != null ? 1 : Integer.getInteger("placement.orders", 2_000);
        System.out.println("placement: first seed " + firstSeed + ", " + orders + " orders");
        Map<String, Integer> totals = run(LongStream.range(firstSeed, firstSeed + orders));
        if (onlySeed == null && orders >= 100) {
            Assert.assertTrue(totals.getOrDefault("resume", 0) > 0, "no event order resumed a task");
            Assert.assertTrue(
                    totals.getOrDefault("takeover with unfenced workers", 0) > 0, "no takeover with unfenced workers");
            Assert.assertTrue(totals.getOrDefault("stop by a cut-off holder", 0) > 0, "no holder was cut off");
        }
    }

    @Test
    public void keepsInvariantsInRegressionEventOrders() {
        run(LongStream.of(REGRESSION_SEEDS));
    }

    /** Runs the simulations in parallel and reports the failure with the lowest seed. */
    private static Map<String, Integer> run(LongStream seeds) {
        ConcurrentSkipListMap<Long, Throwable> failures = new ConcurrentSkipListMap<>();
        ConcurrentSkipListMap<String, Integer> totals = new ConcurrentSkipListMap<>();
        seeds.parallel().forEach(seed -> {
            Simulation simulation = new Simulation(seed);
            try {
                simulation.run();
            } catch (RuntimeException | AssertionError e) {
                failures.put(seed, e);
            }
            simulation.eventCounts.forEach((event, count) -> totals.merge(event, count, Integer::sum));
        });
        System.out.println("placement: " + totals);
        if (!failures.isEmpty()) {
            long seed = failures.firstKey();
            throw new AssertionError(
                    "repeat with -Dplacement.seed=" + seed + "; failed seeds: " + failures.keySet(),
                    failures.get(seed));
        }
        return new TreeMap<>(totals);
    }
}
