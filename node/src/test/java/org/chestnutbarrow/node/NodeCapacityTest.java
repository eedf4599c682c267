package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Guards against owners whose machine is overloaded by the holds of their workers. */
public class NodeCapacityTest {
    private static final long MEGABIT = 125_000;

    @Test
    public void largeMachinesHoldAtTheShortestInterval() {
        assertEquals(new NodeCapacity(1500, 140 * MEGABIT).holdWait(425), NodeCapacity.MIN_HOLD_WAIT);
        assertEquals(new NodeCapacity(750, 1000 * MEGABIT).holdWait(45), NodeCapacity.MIN_HOLD_WAIT);
    }

    @Test
    public void holdsOfManyWorkersAreSpreadOnASlowProcessor() {
        assertEquals(new NodeCapacity(120, 1000 * MEGABIT).holdWait(96), Duration.ofMillis(800));
    }

    @Test
    public void holdsOfManyWorkersAreSpreadOnASlowLink() {
        assertEquals(new NodeCapacity(1500, 4 * MEGABIT).holdWait(100), Duration.ofMillis(800));
    }

    @Test
    public void holdsExtendLeasesInTimeOnAnyMachine() {
        assertEquals(new NodeCapacity(1, 1).holdWait(10_000), NodeCapacity.MAX_HOLD_WAIT);
        assertTrue(NodeCapacity.MAX_HOLD_WAIT.multipliedBy(3).compareTo(Duration.ofSeconds(4)) < 0);
    }

    @Test
    public void unknownFiguresDoNotChangeTheInterval() {
        assertEquals(new NodeCapacity(0, 0).holdWait(10_000), NodeCapacity.MIN_HOLD_WAIT);
    }

    @Test
    public void firstContactsFollowTheProcessor() {
        assertEquals(new NodeCapacity(120, 0).concurrentFirstContacts(), 6);
        assertEquals(new NodeCapacity(0, 0).concurrentFirstContacts(), 4);
        assertEquals(new NodeCapacity(64_000, 0).concurrentFirstContacts(), 64);
        assertEquals(new NodeCapacity(120, 0).concurrentRelayedFirstContacts(), 24);
        assertEquals(new NodeCapacity(64_000, 0).concurrentRelayedFirstContacts(), 64);
    }

    /** Guards against a weak owner that is replaced while it takes hold of the workers. */
    @Test
    public void membershipOfWeakMachinesLastsLonger() {
        Duration shortest = Duration.ofSeconds(1);
        assertEquals(new NodeCapacity(750, 1000 * MEGABIT).membershipTtl(shortest), Duration.ofMillis(1500));
        assertEquals(new NodeCapacity(360, 14 * MEGABIT).membershipTtl(shortest), Duration.ofMillis(1500));
        assertEquals(new NodeCapacity(120, 1000 * MEGABIT).membershipTtl(shortest), Duration.ofSeconds(3));
        assertEquals(new NodeCapacity(750, 2 * MEGABIT).membershipTtl(shortest), Duration.ofSeconds(3));
        assertEquals(new NodeCapacity(0, 0).membershipTtl(shortest), Duration.ofMillis(1500));
    }

    @Test
    public void impossibleFiguresAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new NodeCapacity(-1, 0));
        assertThrows(IllegalArgumentException.class, () -> new NodeCapacity(1, -1));
    }
}
