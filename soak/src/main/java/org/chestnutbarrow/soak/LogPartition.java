package org.chestnutbarrow.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.chestnutbarrow.model.TimeSource;

/**
 * One partition of a keyed topic. Thread-safe; all state is guarded by the monitor of this object.
 *
 * <p>Invariants: an append of an epoch below the highest one of its producer has no effect; a sequence number is stored
 * once; the newest value of each key is kept when the history is dropped.
 */
final class LogPartition {
    private static final int REMEMBERED_APPENDS = 5;
    private static final int MAX_NEWEST_ITEMS = 50;

    /**
     * A record.
     *
     * @param key its key
     * @param value its value; empty removes the key
     */
    record Entry(String key, byte[] value) {
        byte[] keyBytes() {
            return key.getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * Who appends.
     *
     * @param name name of the producer
     * @param epoch its epoch
     * @param sequence number of the append; empty for one without records
     */
    record Producer(String name, long epoch, OptionalLong sequence) {}

    /** Result of an append. */
    sealed interface AppendResult {
        /** The records are stored from {@code offset} on, now or by an earlier append that this one repeats. */
        record Stored(long offset, long end) implements AppendResult {}

        /** A newer epoch of the producer exists. */
        record Fenced(long epoch) implements AppendResult {}

        /** Another sequence number is due. */
        record WrongSequence(long expected) implements AppendResult {}
    }

    /** Records from an offset. */
    record Page(long first, long end, List<Entry> entries) {}

    /** A key with its newest value. */
    record Item(String key, byte[] value, long offset) {}

    /** Newest values in the order of their keys. */
    record NewestPage(List<Item> items, boolean more, long end) {}

    private record Append(long sequence, AppendResult.Stored result) {}

    /** What is known of a producer. Guarded by the monitor of the partition. */
    private static final class ProducerState {
        long epoch;
        long nextSequence = 1;
        final Deque<Append> recent = new ArrayDeque<>();
    }

    private final TimeSource time;
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<String, Item> newest = new TreeMap<>();
    private final Map<String, ProducerState> producers = new HashMap<>();
    private long first;

    LogPartition(TimeSource time) {
        this.time = time;
    }

    /** Appends without a producer. */
    synchronized AppendResult.Stored append(List<Entry> added) {
        long offset = end();
        for (Entry entry : added) {
            if (entry.value().length == 0) {
                newest.remove(entry.key());
            } else {
                newest.put(entry.key(), new Item(entry.key(), entry.value(), end()));
            }
            entries.add(entry);
        }
        notifyAll();
        return new AppendResult.Stored(offset, end());
    }

    /** Appends all records or none of them. */
    synchronized AppendResult append(List<Entry> added, Producer producer) {
        ProducerState state = producers.computeIfAbsent(producer.name(), _ -> new ProducerState());
        if (producer.epoch() < state.epoch) {
            return new AppendResult.Fenced(state.epoch);
        }
        if (producer.epoch() > state.epoch) {
            state.epoch = producer.epoch();
            state.nextSequence = 1;
            state.recent.clear();
        }
        if (producer.sequence().isEmpty()) {
            return append(added);
        }
        long sequence = producer.sequence().getAsLong();
        Optional<Append> repeated =
                state.recent.stream().filter(a -> a.sequence() == sequence).findFirst();
        if (repeated.isPresent()) {
            return repeated.get().result();
        }
        if (sequence != state.nextSequence) {
            return new AppendResult.WrongSequence(state.nextSequence);
        }
        AppendResult.Stored result = append(added);
        state.nextSequence++;
        state.recent.addLast(new Append(sequence, result));
        if (state.recent.size() > REMEMBERED_APPENDS) {
            state.recent.removeFirst();
        }
        return result;
    }

    /** Returns the highest epoch of a producer; empty if it is not known. */
    synchronized OptionalLong epoch(String producer) {
        ProducerState state = producers.get(producer);
        return state == null ? OptionalLong.empty() : OptionalLong.of(state.epoch);
    }

    /** Returns records of about {@code maxBytes}; waits for the first one. Empty if the offset was dropped. */
    synchronized Optional<Page> read(long from, int maxBytes, Duration wait) throws InterruptedException {
        long deadline = time.nanos() + wait.toNanos();
        long remainingMs = wait.toMillis();
        while (from >= end() && remainingMs > 0) {
            wait(remainingMs);
            remainingMs = Duration.ofNanos(deadline - time.nanos()).toMillis();
        }
        if (from < first) {
            return Optional.empty();
        }
        List<Entry> page = new ArrayList<>();
        int bytes = 0;
        for (long offset = from; offset < end() && bytes < maxBytes; offset++) {
            Entry entry = entries.get((int) (offset - first));
            page.add(entry);
            bytes += entry.value().length;
        }
        return Optional.of(new Page(first, end(), page));
    }

    /** Returns the offset of the first record that is kept. */
    synchronized long first() {
        return first;
    }

    synchronized NewestPage newest(String after) {
        Map<String, Item> rest = newest.tailMap(after, false);
        List<Item> items = rest.values().stream().limit(MAX_NEWEST_ITEMS).toList();
        return new NewestPage(items, rest.size() > items.size(), end());
    }

    /** Drops all records; the newest values stay. */
    synchronized void dropHistory() {
        first = end();
        entries.clear();
    }

    private long end() {
        return first + entries.size();
    }
}
