package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;

/**
 * Appends one batch after the other under a sequence, so that a batch whose answer was lost is repeated without a second
 * effect. Used by one thread at a time.
 */
final class SequencedWriter {
    /** Bytes of a part of a batch, so that one append takes about 1 s on the smallest link. */
    static final int PART_BYTES = 256 * 1024;

    /** An append takes about 6 ms; under a slow store 60 times as long. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);
    /** Rate of the smallest links, 2 Mbit/s. The time that a batch needs there is added to the time-out. */
    private static final int LINK_BYTES_PER_MS = 250;
    /** Pause before an append is repeated. */
    private static final Duration PAUSE = Duration.ofMillis(60);

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

    /** Splits entries, in their order, into parts of at most {@link #PART_BYTES} or one entry. */
    static List<List<StateStore.Entry>> parts(List<StateStore.Entry> entries) {
        List<List<StateStore.Entry>> parts = new ArrayList<>();
        int begin = 0;
        int bytes = 0;
        for (int i = 0; i < entries.size(); i++) {
            int more = bytes(entries.get(i));
            if (i > begin && bytes + more > PART_BYTES) {
                parts.add(entries.subList(begin, i));
                begin = i;
                bytes = 0;
            }
            bytes += more;
        }
        if (begin < entries.size()) {
            parts.add(entries.subList(begin, entries.size()));
        }
        return parts;
    }

    private static int bytes(StateStore.Entry entry) {
        return entry.key().length() + entry.value().map(value -> value.length).orElse(0);
    }

    private static Duration timeout(List<StateStore.Entry> entries) {
        int bytes = entries.stream().mapToInt(SequencedWriter::bytes).sum();
        return TIMEOUT.plusMillis(bytes / LINK_BYTES_PER_MS);
    }

    /**
     * Appends a batch; an unknown outcome is resolved by repeating the batch for as long as {@code go} holds.
     *
     * @return the offset of the first entry
     * @throws NotRunException if nothing was stored
     * @throws OutcomeUnknownException if the outcome was still unknown when {@code go} ended
     */
    long append(List<StateStore.Entry> entries, BooleanSupplier go)
            throws NotRunException, OutcomeUnknownException, StaleEpochException {
        StateStore.Writer writer = new StateStore.Writer(name, epoch, sequence);
        Duration timeout = timeout(entries);
        OutcomeUnknownException unknown = null;
        while (true) {
            try {
                long offset = store.append(topic, entries, writer, timeout);
                sequence++;
                return offset;
            } catch (OutcomeUnknownException e) {
                if (unknown == null) {
                    Events.warn("append-unknown", "topic", topic, "sequence", sequence, "cause", e.getMessage());
                }
                unknown = e;
            } catch (NotRunException e) {
                if (unknown == null) {
                    throw e;
                }
            }
            if (!go.getAsBoolean()) {
                throw unknown;
            }
            Threads.sleep(PAUSE);
        }
    }
}
