package org.chestnutbarrow.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chestnutbarrow.model.UnstorableException;
import org.testng.annotations.Test;

/** Tests appends of many entries. */
public class SequencedWriterTest {
    /** Transfer time per byte on a link of 2 Mbit/s; a slow store takes another 360 ms to answer. */
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

    /** A large batch must not time out forever on a slow link. */
    @Test
    public void timeoutAllowsForBatchSize() throws Exception {
        FakeStore store = new FakeStore();
        SequencedWriter writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, "test", 1);
        int bytes = SequencedWriter.MAX_CHUNK_BYTES;
        store.limits(new StateStore.Limits(2 * bytes, 2 * bytes));
        writer.append(entries(1, bytes), () -> true);
        long requiredMs = SLOW_ANSWER.toMillis() + (long) (bytes * LINK_MS_PER_BYTE);
        assertTrue(store.lastTimeout().toMillis() >= requiredMs, store.lastTimeout() + " for " + requiredMs + " ms");
    }

    /** The first plan after a takeover may be larger than the store accepts in one call. */
    @Test
    public void chunksAreBoundedAndKeepTheOrder() {
        List<StateStore.Entry> entries = entries(3000, 400);
        entries.add(1000, entry(-1, 2 * SequencedWriter.MAX_CHUNK_BYTES));
        List<StateStore.Entry> joined = new ArrayList<>();
        SequencedWriter writer = new SequencedWriter(new FakeStore(), StateStore.Topic.PROGRESS, "test", 1);
        for (List<StateStore.Entry> chunk : writer.chunks(entries)) {
            int bytes = chunk.stream()
                    .mapToInt(chunkEntry -> chunkEntry.value().orElseThrow().length)
                    .sum();
            assertTrue(chunk.size() == 1 || bytes <= SequencedWriter.MAX_CHUNK_BYTES, chunk.size() + " entries");
            joined.addAll(chunk);
        }
        assertEquals(joined, entries);
        assertEquals(writer.chunks(List.of()), List.of());
    }

    /** A batch that the store refuses for good must neither be repeated for ever nor use up its sequence number. */
    @Test
    public void unstorableBatchIsNotRepeated() throws Exception {
        FakeStore store = new FakeStore();
        store.maxRecordBytes(100);
        SequencedWriter writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, "test", 1);
        assertThrows(UnstorableException.class, () -> writer.append(entries(3, 200), () -> true));
        assertEquals(store.unstorableAppends(), 1);
        writer.append(entries(1, 50), () -> true);
        assertEquals(store.records(StateStore.Topic.PROGRESS).size(), 1);
    }

    /** Guards against appends that the store refuses because it accepts less than usual in one call. */
    @Test
    public void chunksObserveTheLimitOfTheStore() throws Exception {
        FakeStore store = new FakeStore();
        store.limits(new StateStore.Limits(1000, 2000));
        SequencedWriter writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, "test", 1);
        List<StateStore.Entry> entries = entries(100, 300);
        for (List<StateStore.Entry> chunk : writer.chunks(entries)) {
            writer.append(chunk, () -> true);
        }
        assertEquals(store.records(StateStore.Topic.PROGRESS), entries);
    }
}
