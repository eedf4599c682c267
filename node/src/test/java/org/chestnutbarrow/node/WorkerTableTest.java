package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chestnutbarrow.batch.WorkerRegistration;
import org.testng.annotations.Test;

/** Tests that odd entries of other writers do not change the worker list. */
public class WorkerTableTest {
    private static final WorkerRegistration WORKER = TestWorkers.worker("w");
    private static final byte[] READABLE = {1};
    private static final byte[] UNREADABLE = {2};

    private final WorkerTable table = new WorkerTable(new Codec());

    /** Reads one worker per key, unless the value is {@link #UNREADABLE}. Stateless. */
    private static final class Codec implements RecordCodec {
        @Override
        public ControlState decodeControl(Map<String, byte[]> values, ControlState previous) {
            return previous;
        }

        @Override
        public Optional<WorkerRegistration> decodeWorker(String key, byte[] value) {
            return value[0] == READABLE[0] ? Optional.of(TestWorkers.worker(key)) : Optional.empty();
        }
    }

    private static StateStore.Snapshot snapshot(Map<String, byte[]> values) {
        return new StateStore.Snapshot(new HashMap<>(values), 1);
    }

    /** Guards against a worker that is taken for gone because the newest entry under its id cannot be read. */
    @Test
    public void entryBeforeAnUnreadableOneHolds() {
        table.onSnapshot(snapshot(Map.of("w", READABLE, "v", READABLE)));
        table.onEntry(new StateStore.StoredEntry(1, new StateStore.Entry("w", Optional.of(UNREADABLE))));
        assertEquals(table.all().size(), 2);
        table.onSnapshot(snapshot(Map.of("w", UNREADABLE)));
        assertEquals(table.all(), List.of(WORKER));
        table.onSnapshot(snapshot(Map.of()));
        assertEquals(table.all(), List.of());
    }
}
