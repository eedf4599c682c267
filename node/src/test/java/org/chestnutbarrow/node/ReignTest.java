package org.chestnutbarrow.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Guards the times at which an owner extends leases. */
public class ReignTest {
    private static final TaskRecord.WorkerIncarnation LIFE = new TaskRecord.WorkerIncarnation(new WorkerId("w"), 1);

    private final AdvancedClock clock = new AdvancedClock();

    private Reign reign(StateStore store) {
        Reign reign = new Reign(
                7,
                store,
                new FakeWorkers(),
                new JobReplica(),
                clock,
                Duration.ofSeconds(6),
                new NodeMetrics(() -> true, () -> Duration.ZERO),
                () -> Duration.ZERO);
        reign.begin(new ControlState(1, Map.of(), Set.of()), List.of());
        return reign;
    }

    /** Guards against leases that lapse because an owner with nothing to store cannot read either. */
    @Test
    public void aQuietOwnerStaysConfirmedByTheStore() throws InterruptedException {
        Reign reign = reign(new FakeStore());
        clock.advance(Duration.ofSeconds(20));
        for (int i = 0; i < 100 && !reign.extending(LIFE); i++) {
            Thread.sleep(100);
        }
        assertTrue(reign.extending(LIFE));
        reign.end();
    }

    /** Guards against leases that are extended beside those of a newer owner. */
    @Test
    public void anOwnerThatTheStoreDoesNotAnswerStopsExtending() throws InterruptedException {
        FakeStore store = new FakeStore();
        Reign reign = reign(store);
        store.fault(FakeStore.Fault.REFUSES);
        clock.advance(Duration.ofSeconds(20));
        Thread.sleep(1000);
        assertFalse(reign.extending(LIFE));
        reign.end();
    }
}
