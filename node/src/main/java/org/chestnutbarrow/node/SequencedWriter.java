package org.chestnutbarrow.node;

import java.time.Duration;
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
    /** An append takes about 6 ms; under a slow store 60 times as long. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);
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
        OutcomeUnknownException unknown = null;
        while (true) {
            try {
                long offset = store.append(topic, entries, writer, TIMEOUT);
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
            Pauses.sleep(PAUSE);
        }
    }
}
