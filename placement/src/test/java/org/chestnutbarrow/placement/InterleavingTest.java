package org.chestnutbarrow.placement;

import java.util.Map;
import java.util.TreeMap;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against two attempts at once, lost or repeated resumption, tasks that never end and exceeded quotas, over many
 * orders of events. {@code -Dplacement.seed=N} repeats one order; {@code -Dplacement.orders=N} sets how many are run.
 */
public class InterleavingTest {
    @Test
    public void keepsTheInvariantsInEveryOrderOfEvents() {
        Long only = Long.getLong("placement.seed");
        long first = only != null ? only : System.nanoTime() & 0xffff_ffffL;
        int orders = only != null ? 1 : Integer.getInteger("placement.orders", 2_000);
        System.out.println("placement: first seed " + first + ", " + orders + " orders");
        Map<String, Integer> totals = new TreeMap<>();
        for (long seed = first; seed < first + orders; seed++) {
            Simulation simulation = new Simulation(seed);
            try {
                simulation.run();
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("repeat with -Dplacement.seed=" + seed, e);
            }
            simulation.counts.forEach((what, count) -> totals.merge(what, count, Integer::sum));
        }
        System.out.println("placement: " + totals);
        if (only == null && orders >= 100) {
            Assert.assertTrue(totals.getOrDefault("resume", 0) > 0, "no order resumed a task");
            Assert.assertTrue(totals.getOrDefault("takeover with unfenced workers", 0) > 0, "no hard takeover");
        }
    }
}
