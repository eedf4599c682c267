package org.chestnutbarrow.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.batch.TaskRecord;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Guards the times at which an owner extends leases. */
public class ReignTest {
    private static final TaskRecord.Location LIFE = new TaskRecord.Location(new WorkerId("w"), 1);

    private final AtomicLong ahead = new AtomicLong();
    private final TimeSource clock = new TimeSource() {
        @Override
        public Instant now() {
            return Instant.now().plusNanos(ahead.get());
        }

        @Override
        public long nanos() {
            return System.nanoTime() + ahead.get();
        }
    };

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
        ahead.addAndGet(Duration.ofSeconds(20).toNanos());
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
        ahead.addAndGet(Duration.ofSeconds(20).toNanos());
        Thread.sleep(1000);
        assertFalse(reign.extending(LIFE));
        reign.end();
    }
}
