package org.chestnutbarrow.placement;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against two attempts at once, lost or repeated resumption, tasks that never end and exceeded quotas, over many
 * orders of events. The same orders run each time; {@code -Dplacement.seed=N} repeats one, {@code -Dplacement.first=N}
 * and {@code -Dplacement.orders=N} choose others.
 */
public class InterleavingTest {
    /** Seeds of orders that broke an invariant before. */
    private static final long[] REGRESSIONS = {1_004_428_142L, 4_571, 5_079, 17, 42, 57};

    @Test
    public void keepsTheInvariantsInEveryOrderOfEvents() {
        Long only = Long.getLong("placement.seed");
        long first = only != null ? only : Long.getLong("placement.first", 1);
        int orders = only != null ? 1 : Integer.getInteger("placement.orders", 2_000);
        System.out.println("placement: first seed " + first + ", " + orders + " orders");
        Map<String, Integer> totals = run(LongStream.range(first, first + orders));
        if (only == null && orders >= 100) {
            Assert.assertTrue(totals.getOrDefault("resume", 0) > 0, "no order resumed a task");
            Assert.assertTrue(totals.getOrDefault("takeover with unfenced workers", 0) > 0, "no hard takeover");
            Assert.assertTrue(totals.getOrDefault("stop by a holder without contact", 0) > 0, "no holder was cut off");
        }
    }

    /** Guards against the return of faults that were found by these orders. */
    @Test
    public void keepsTheInvariantsInOrdersThatBrokeThemBefore() {
        run(LongStream.of(REGRESSIONS));
    }

    /** Runs independent orders at the same time and reports the failure with the lowest seed. */
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
            simulation.counts.forEach((what, count) -> totals.merge(what, count, Integer::sum));
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
