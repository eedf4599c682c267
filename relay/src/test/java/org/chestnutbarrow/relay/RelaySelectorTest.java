package org.chestnutbarrow.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.WorkerId;
import org.chestnutbarrow.node.RelayEndpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests through which relay a worker is called. */
public class RelaySelectorTest {
    private static final AvailabilityZone EAST = new AvailabilityZone("east");
    private static final AvailabilityZone WEST = new AvailabilityZone("west");
    private static final WorkerId WORKER = new WorkerId("w1");

    private RelaySelector selector;

    @BeforeMethod
    public void setUp() {
        selector = new RelaySelector();
        selector.setRelays(relays(4), 0);
    }

    /** Half of the relays are in each zone. */
    private static Map<String, RelayEndpoint> relays(int count) {
        Map<String, RelayEndpoint> relays = new HashMap<>();
        for (int i = 0; i < count; i++) {
            AvailabilityZone zone = i % 2 == 0 ? EAST : WEST;
            relays.put("n" + i, new RelayEndpoint(zone, new Address("10.0.0." + (i + 1), 80)));
        }
        return relays;
    }

    private static long seconds(double seconds) {
        return (long) (seconds * Duration.ofSeconds(1).toNanos());
    }

    private String choose(WorkerId worker, long now) {
        return selector.choose(worker, EAST, now).orElseThrow();
    }

    @Test
    public void workersAreSpreadOverTheRelaysOfTheirZone() {
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            chosen.add(choose(new WorkerId("w" + i), 0));
        }
        assertEquals(chosen, Set.of("n0", "n2"));
    }

    /** Guards against workers that stay with a relay that has stopped. */
    @Test
    public void silentRelayIsNotChosenForAWhile() {
        String first = choose(WORKER, 0);
        assertTrue(selector.failed(first, seconds(1.5)));
        assertNotEquals(choose(WORKER, seconds(1.5)), first);
        assertFalse(selector.failed(first, seconds(1.6)), "suspended already");
        assertEquals(choose(WORKER, seconds(5)), first);
    }

    /** Guards against an owner that gives up all relays because its own threads are late. */
    @Test
    public void relayThatHasJustAnsweredIsNotSuspended() {
        String first = choose(WORKER, 0);
        selector.answered(first, seconds(1));
        assertFalse(selector.failed(first, seconds(1.5)));
        assertEquals(choose(WORKER, seconds(1.5)), first);
    }

    /** Guards against a worker that counts as lost because only its relay cannot reach it. */
    @Test
    public void unreachableWorkerIsCalledThroughAnotherRelay() {
        String first = choose(WORKER, 0);
        selector.workerUnreachable(WORKER);
        assertNotEquals(choose(WORKER, 0), first);
    }

    @Test
    public void withoutAvailableRelaysTheOwnerCallsDirectly() {
        for (int i = 0; i < 4; i++) {
            selector.failed("n" + i, seconds(2));
        }
        assertEquals(selector.choose(WORKER, EAST, seconds(2)), Optional.empty());
        selector.setRelays(Map.of(), seconds(2));
        assertEquals(selector.choose(WORKER, EAST, seconds(9)), Optional.empty());
    }

    /** Guards against a change of the group that moves all workers to other relays. */
    @Test
    public void changeOfTheRelaysMovesFewWorkers() {
        Map<WorkerId, String> before = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            WorkerId worker = new WorkerId("w" + i);
            before.put(worker, choose(worker, 0));
        }
        Map<String, RelayEndpoint> fewer = relays(4);
        fewer.remove("n2");
        selector.setRelays(fewer, 0);
        before.forEach((worker, relay) -> {
            if (!relay.equals("n2")) {
                assertEquals(choose(worker, 0), relay);
            }
        });
    }
}
