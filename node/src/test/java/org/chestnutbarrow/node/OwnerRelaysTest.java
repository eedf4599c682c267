package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.TimeSource;
import org.testng.annotations.Test;

/** Guards against weak owners that call all workers themselves, and strong ones that take the longer way. */
public class OwnerRelaysTest {
    private static final NodeCapacity WEAK = new NodeCapacity(120, 250_000);
    private static final NodeCapacity STRONG = new NodeCapacity(1500, 17_500_000);

    /** A network that is used whenever an owner wants it and it has relays. */
    private static final class Network implements RelayNetwork {
        volatile boolean hasRelays = true;

        @Override
        public void attach(Host host) {}

        @Override
        public void setRelays(Map<String, RelayEndpoint> relays) {}

        @Override
        public boolean use(boolean wanted) {
            return wanted && hasRelays;
        }
    }

    private final Network network = new Network();

    private static List<WorkerRegistration> workers(int count) {
        List<WorkerRegistration> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            workers.add(TestWorkers.worker("w" + i));
        }
        return workers;
    }

    private OwnershipTerm start(NodeCapacity capacity, int workerCount) {
        OwnershipTerm term = new OwnershipTerm(
                7,
                new FakeStore(),
                new FakeWorkers(),
                new JobReplica(TimeSource.SYSTEM),
                new PermissionTime(new OffsetClock()),
                new NodeSettings("node", capacity, Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                network,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        term.start(new ControlState(1, Map.of(), Set.of()), workers(workerCount));
        return term;
    }

    @Test
    public void weakOwnerUsesRelays() {
        OwnershipTerm term = start(WEAK, 135);
        assertTrue(term.callsRelayed());
        assertEquals(term.holdWait(), WEAK.relayedHoldWait(135));
        term.end();
    }

    @Test
    public void strongOwnerCallsDirectly() {
        OwnershipTerm term = start(STRONG, 425);
        assertFalse(term.callsRelayed());
        assertEquals(term.holdWait(), NodeCapacity.MIN_HOLD_WAIT);
        term.end();
    }

    /** The first owner of a deployment takes over before the other nodes have joined. */
    @Test
    public void relaysThatJoinLaterAreUsed() {
        network.hasRelays = false;
        OwnershipTerm term = start(WEAK, 135);
        assertFalse(term.callsRelayed());
        assertEquals(term.holdWait(), WEAK.holdWait(135));
        network.hasRelays = true;
        term.relaysChanged();
        assertTrue(term.callsRelayed());
        term.end();
        network.hasRelays = true;
    }
}
