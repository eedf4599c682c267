package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards appends of many entries. */
public class SequencedWriterTest {
    /** A link of 2 Mbit/s needs this time for a byte, and the store 360 ms for its answer while it is slow. */
    private static final double LINK_MS_PER_BYTE = 8.0 / 2000;

    private static final Duration SLOW_ANSWER = Duration.ofMillis(360);

    private static StateStore.Entry entry(int number, int bytes) {
        return new StateStore.Entry("key" + number, Optional.of(new byte[bytes]));
    }

    private static List<StateStore.Entry> entries(int count, int bytes) {
        List<StateStore.Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(i, bytes));
        }
        return entries;
    }

    /** Guards against a large batch that times out for ever on a small link. */
    @Test
    public void theTimeOutAllowsForTheSizeOfABatch() throws Exception {
        FakeStore store = new FakeStore();
        SequencedWriter writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, "test", 1);
        int bytes = SequencedWriter.PART_BYTES;
        writer.append(entries(1, bytes), () -> true);
        long needed = SLOW_ANSWER.toMillis() + (long) (bytes * LINK_MS_PER_BYTE);
        assertTrue(store.lastTimeout().toMillis() >= needed, store.lastTimeout() + " for " + needed + " ms");
    }

    /** Guards against a first plan after a takeover that is larger than the store takes in one call. */
    @Test
    public void partsAreBoundedAndKeepTheOrder() {
        List<StateStore.Entry> entries = entries(3000, 400);
        entries.add(1000, entry(-1, 2 * SequencedWriter.PART_BYTES));
        List<StateStore.Entry> joined = new ArrayList<>();
        for (List<StateStore.Entry> part : SequencedWriter.parts(entries)) {
            int bytes =
                    part.stream().mapToInt(e -> e.value().orElseThrow().length).sum();
            assertTrue(part.size() == 1 || bytes <= SequencedWriter.PART_BYTES, part.size() + " entries");
            joined.addAll(part);
        }
        assertEquals(joined, entries);
        assertEquals(SequencedWriter.parts(List.of()), List.of());
    }
}
