package org.chestnutbarrow.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Tests when an owner may extend leases. */
public class OwnershipTermTest {
    private static final TaskRecord.WorkerIncarnation INCARNATION =
            new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1);

    private final OffsetClock clock = new OffsetClock();

    private OwnershipTerm term(StateStore store) {
        OwnershipTerm term = new OwnershipTerm(
                7,
                store,
                new FakeWorkers(),
                new JobReplica(),
                new PermissionTime(clock),
                new NodeSettings(
                        "node", new NodeCapacity(0, 0), Optional.empty(), Duration.ofSeconds(1), Duration.ofSeconds(6)),
                RelayNetwork.NONE,
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        term.start(new ControlState(1, Map.of(), Set.of()), List.of());
        return term;
    }

    /** Guards against leases that expire because an owner with nothing to store cannot read the store either. */
    @Test
    public void idleOwnerStaysConfirmedByTheStore() throws InterruptedException {
        OwnershipTerm term = term(new FakeStore());
        clock.advance(Duration.ofSeconds(20));
        for (int i = 0; i < 100 && !term.mayExtendLeases(INCARNATION); i++) {
            Thread.sleep(100);
        }
        assertTrue(term.mayExtendLeases(INCARNATION));
        term.end();
    }

    /** Guards against leases extended by two owners at once: one without the store cannot see a newer owner. */
    @Test
    public void ownerStopsExtendingLeasesWithoutTheStore() throws InterruptedException {
        FakeStore store = new FakeStore();
        OwnershipTerm term = term(store);
        store.fault(FakeStore.Fault.REFUSES);
        clock.advance(Duration.ofSeconds(20));
        Thread.sleep(1000);
        assertFalse(term.mayExtendLeases(INCARNATION));
        term.end();
    }
}
