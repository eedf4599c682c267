package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Map;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.testng.annotations.Test;

/** Guards against relays that stay unknown, and against reads of the members without a change of the group. */
public class RelayScheduleTest {
    private static final Duration HANDOVER_TIME = Duration.ofSeconds(1);
    private static final long HANDED_OVER = HANDOVER_TIME.toNanos();
    private static final RelayEndpoint ENDPOINT =
            new RelayEndpoint(new AvailabilityZone("zone"), new Address("127.0.0.1", 1));
    private static final Map<String, RelayEndpoint> A = Map.of("a", ENDPOINT);
    private static final Map<String, RelayEndpoint> B = Map.of("b", ENDPOINT);

    private final RelaySchedule schedule = new RelaySchedule(HANDOVER_TIME);

    @Test
    public void membersAreReadTwiceForEachChange() {
        assertTrue(schedule.isDue(5, 0));
        schedule.read(5, A, 0);
        assertFalse(schedule.isDue(5, HANDED_OVER - 1));
        assertTrue(schedule.isDue(5, HANDED_OVER));
        schedule.read(5, A, HANDED_OVER);
        assertFalse(schedule.isDue(5, 10 * HANDED_OVER));
        assertTrue(schedule.isDue(6, 10 * HANDED_OVER));
    }

    @Test
    public void readDuringTheHandoverIsRepeatedAfterIt() {
        schedule.read(7, A, 0);
        schedule.read(7, A, HANDED_OVER / 2);
        assertTrue(schedule.isDue(7, HANDED_OVER));
    }

    /** A relay that holds no partition for a moment still serves. */
    @Test
    public void relaysAreRemovedOnlyAfterTheHandover() {
        RelaySchedule relays = new RelaySchedule(HANDOVER_TIME);
        assertEquals(relays.read(1, A, 0), A);
        assertEquals(relays.read(2, B, 1), Map.of("a", ENDPOINT, "b", ENDPOINT));
        assertEquals(relays.read(2, B, 1 + HANDED_OVER), B);
    }
}
