package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.UnstorableException;

/**
 * Appends batches under consecutive sequence numbers, so that a batch whose answer was lost can be repeated without
 * being stored twice. Not thread-safe; confined to one thread at a time.
 */
final class SequencedWriter {
    /**
     * Maximum size of a chunk if the store accepts as much; one append of this size takes about 1 s on the slowest
     * supported link.
     */
    static final int MAX_CHUNK_BYTES = 256 * 1024;

    /** An append takes about 6 ms, and 60 times as long when the store is slow. */
    private static final Duration BASE_TIMEOUT = Duration.ofMillis(900);
    /** Rate of the slowest supported link, 2 Mbit/s. The transfer time at this rate is added to the timeout. */
    private static final int MIN_LINK_BYTES_PER_MS = 250;
    /** Delay before an append is repeated. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(60);

    private final StateStore store;
    private final StateStore.Topic topic;
    private final String name;
    private final long epoch;
    private long sequence = 1;

    SequencedWriter(StateStore store, StateStore.Topic topic, String name, long epoch) {
        this.store = store;
        this.topic = topic;
        this.name = name;
        this.epoch = epoch;
    }

    /**
     * Splits entries, in order, into chunks of at most {@link #maxChunkBytes}; a larger entry is a chunk of its own.
     */
    List<List<StateStore.Entry>> chunks(List<StateStore.Entry> entries) {
        int maxBytes = maxChunkBytes();
        List<List<StateStore.Entry>> chunks = new ArrayList<>();
        int begin = 0;
        int chunkBytes = 0;
        for (int i = 0; i < entries.size(); i++) {
            int entryBytes = sizeBytes(entries.get(i));
            if (i > begin && chunkBytes + entryBytes > maxBytes) {
                chunks.add(entries.subList(begin, i));
                begin = i;
                chunkBytes = 0;
            }
            chunkBytes += entryBytes;
        }
        if (begin < entries.size()) {
            chunks.add(entries.subList(begin, entries.size()));
        }
        return chunks;
    }

    /** Returns the largest size of entries that are appended together. */
    int maxChunkBytes() {
        return Math.min(MAX_CHUNK_BYTES, store.limits().requestBytes());
    }

    /** Splits a batch of several entries that the store refuses for good, to find the entry that it refuses. */
    static <T> List<List<T>> halves(List<T> entries) {
        int middle = entries.size() / 2;
        return List.of(entries.subList(0, middle), entries.subList(middle, entries.size()));
    }

    /** Returns the size of an entry in an append. */
    static int sizeBytes(StateStore.Entry entry) {
        return StateStore.Limits.FRAME_BYTES + entry.recordBytes();
    }

    private static int sizeBytes(List<StateStore.Entry> entries) {
        return entries.stream().mapToInt(SequencedWriter::sizeBytes).sum();
    }

    private static Duration timeout(List<StateStore.Entry> entries) {
        return BASE_TIMEOUT.plusMillis(sizeBytes(entries) / MIN_LINK_BYTES_PER_MS);
    }

    /**
     * Appends a batch. An unknown outcome is resolved by repeating the batch while {@code keepRetrying} is true.
     *
     * @return the offset of the first entry
     * @throws NotRunException if nothing was stored
     * @throws OutcomeUnknownException if the outcome is still unknown when {@code keepRetrying} becomes false
     * @throws UnstorableException if the store refuses the batch for good; an attempt with an unknown outcome did not
     *     store it either, since it had the same content
     */
    long append(List<StateStore.Entry> entries, BooleanSupplier keepRetrying)
            throws NotRunException, OutcomeUnknownException, StaleEpochException, UnstorableException {
        StateStore.Writer writer = new StateStore.Writer(name, epoch, sequence);
        Duration timeout = timeout(entries);
        OutcomeUnknownException lastUnknown = null;
        while (true) {
            try {
                long offset = store.append(topic, entries, writer, timeout);
                sequence++;
                return offset;
            } catch (OutcomeUnknownException e) {
                if (lastUnknown == null) {
                    logUnknown(entries, e);
                }
                lastUnknown = e;
            } catch (NotRunException e) {
                if (lastUnknown == null) {
                    throw e;
                }
            }
            if (!keepRetrying.getAsBoolean()) {
                throw lastUnknown;
            }
            Threads.sleep(RETRY_DELAY);
        }
    }

    /** Logs an entry that the store refuses for good. */
    static void logUnstorable(StateStore.Entry entry, UnstorableException cause) {
        Events.warn("entry-unstorable", "key", entry.key(), "bytes", entry.recordBytes(), "cause", cause.getMessage());
    }

    private void logUnknown(List<StateStore.Entry> entries, OutcomeUnknownException cause) {
        Optional<StateStore.Entry> largest = entries.stream().max(Comparator.comparingInt(SequencedWriter::sizeBytes));
        Events.warn(
                "append-unknown",
                "topic",
                topic,
                "sequence",
                sequence,
                "entries",
                entries.size(),
                "bytes",
                sizeBytes(entries),
                "largestKey",
                largest.map(StateStore.Entry::key).orElse("none"),
                "largestBytes",
                largest.map(SequencedWriter::sizeBytes).orElse(0),
                "cause",
                cause.getMessage());
    }
}
