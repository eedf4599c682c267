package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.chestnutbarrow.model.Address;
import org.chestnutbarrow.model.AvailabilityZone;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.WorkerId;
import org.testng.annotations.Test;

/** Guards against one unreadable entry of another writer that keeps the others from being applied. */
public class UnreadableEntriesTest {
    private static final byte[] GOOD = "good".getBytes(StandardCharsets.UTF_8);
    private static final byte[] BAD = "bad".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DEEP = "deep".getBytes(StandardCharsets.UTF_8);

    /** A codec that fails in ways that the interface does not announce. */
    private static final RecordCodec FAILING = new RecordCodec() {
        @Override
        public ControlState decodeControl(Map<String, byte[]> records, ControlState current) {
            if (records.containsValue(BAD)) {
                throw new IllegalStateException("unexpected");
            }
            return new ControlState(records.size(), Map.of(), Set.of());
        }

        @Override
        public Optional<WorkerRegistration> decodeWorker(String key, byte[] value) {
            if (value == BAD) {
                throw new IllegalStateException("unexpected");
            }
            if (value == DEEP) {
                throw new StackOverflowError();
            }
            return Optional.of(new WorkerRegistration(
                    new WorkerId(key),
                    1,
                    new Address("127.0.0.1", 1),
                    "service",
                    new AvailabilityZone("zone"),
                    Set.of(),
                    Resources.NONE,
                    false));
        }
    };

    @Test
    public void otherWorkersOfASnapshotAreListed() {
        WorkerTable table = new WorkerTable(FAILING);
        table.onSnapshot(new StateStore.Snapshot(Map.of("a", BAD, "b", GOOD, "c", DEEP, "d", GOOD), 4));
        assertEquals(table.all().size(), 2);
    }

    @Test
    public void workersListedAfterAnUnreadableOneAreApplied() {
        WorkerTable table = new WorkerTable(FAILING);
        table.onEntry(entry(0, "a", DEEP));
        table.onEntry(entry(1, "b", BAD));
        table.onEntry(entry(2, "c", GOOD));
        assertEquals(table.all().size(), 1);
    }

    @Test
    public void declarationsInForceStay() {
        ControlTable table = new ControlTable(FAILING);
        table.onEntry(entry(0, "config", GOOD));
        table.onPageApplied();
        table.onEntry(entry(1, "other", BAD));
        table.onPageApplied();
        assertEquals(table.state().version(), 1);
        table.onEntry(new StateStore.StoredEntry(2, new StateStore.Entry("other", Optional.empty())));
        table.onPageApplied();
        assertEquals(table.state().version(), 1);
    }

    private static StateStore.StoredEntry entry(long offset, String key, byte[] value) {
        return new StateStore.StoredEntry(offset, new StateStore.Entry(key, Optional.of(value)));
    }
}
