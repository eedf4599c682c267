package org.chestnutbarrow.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** A seed must stand for the same faults each time, and only for those that were asked for. */
public class FaultScheduleTest {
    private static List<Fault.Timed> schedule(long seed, Set<Fault.Family> families) {
        return FaultSchedule.create(new SplittableRandom(seed), Duration.ofSeconds(40), 4, 8, families);
    }

    @Test
    public void dependsOnSeedOnly() {
        Set<Fault.Family> all = EnumSet.allOf(Fault.Family.class);
        assertEquals(schedule(5, all), schedule(5, all));
        assertTrue(!schedule(5, all).equals(schedule(6, all)));
    }

    @Test
    public void containsChosenFamiliesOnly() {
        List<Fault.Timed> schedule = schedule(5, Set.of(Fault.Family.WORKERS));
        assertTrue(!schedule.isEmpty());
        assertTrue(schedule.stream().allMatch(timed -> timed.fault().family() == Fault.Family.WORKERS));
    }
}
