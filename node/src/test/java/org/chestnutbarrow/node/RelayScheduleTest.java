package org.chestnutbarrow.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Guards against relays that stay unknown, and against reads of the members without a change of the group. */
public class RelayScheduleTest {
    private static final Duration TTL = Duration.ofSeconds(1);
    private static final long HANDED_OVER = TTL.multipliedBy(2).toNanos();

    private final RelaySchedule schedule = new RelaySchedule(TTL);

    @Test
    public void membersAreReadTwiceForEachChange() {
        assertTrue(schedule.isDue(5, 0));
        schedule.read(5, 0);
        assertFalse(schedule.isDue(5, HANDED_OVER - 1));
        assertTrue(schedule.isDue(5, HANDED_OVER));
        schedule.read(5, HANDED_OVER);
        assertFalse(schedule.isDue(5, 10 * HANDED_OVER));
        assertTrue(schedule.isDue(6, 10 * HANDED_OVER));
    }

    @Test
    public void readDuringTheHandoverIsRepeatedAfterIt() {
        schedule.read(5, 0);
        schedule.read(5, HANDED_OVER / 2);
        assertTrue(schedule.isDue(5, HANDED_OVER));
    }
}
