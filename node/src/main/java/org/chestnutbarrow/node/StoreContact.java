package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;

/**
 * When the store last confirmed an ownership. Safe for use by several threads.
 *
 * <p>Invariant: at the time of the last confirmation no newer owner had stored anything.
 */
final class StoreContact {
    /** An owner that has stored nothing for this time asks the store whether it still is the owner. */
    private static final Duration INTERVAL = Duration.ofSeconds(2);
    /** Pause between two looks at whether the store has to be asked. */
    private static final Duration PAUSE = Duration.ofMillis(500);
    /** The store answers within 0.4 s when it is slow. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final StateStore store;
    private final StateStore.Writer owner;
    private final TimeSource time;
    private volatile long seenAt;

    /** Begins with a confirmation now; {@code owner} is the writer of progress, with its epoch. */
    StoreContact(StateStore store, StateStore.Writer owner, TimeSource time) {
        this.store = store;
        this.owner = owner;
        this.time = time;
        this.seenAt = time.nanos();
    }

    /** Time since the last confirmation. */
    Duration silence() {
        return Duration.ofNanos(time.nanos() - seenAt);
    }

    /** The store has confirmed the ownership with a call sent at that time, ns. */
    synchronized void confirmed(long sentAt) {
        seenAt = Math.max(seenAt, sentAt);
    }

    /**
     * Keeps the ownership confirmed while there is nothing to store and topics cannot be read, for as long as {@code go}
     * holds.
     *
     * @throws StaleEpochException if a newer owner exists
     */
    void run(BooleanSupplier go) throws StaleEpochException {
        while (go.getAsBoolean()) {
            if (silence().compareTo(INTERVAL) > 0) {
                ask();
            }
            Pauses.sleep(PAUSE);
        }
    }

    private void ask() throws StaleEpochException {
        try {
            long sent = time.nanos();
            store.append(StateStore.Topic.PROGRESS, List.of(), owner, TIMEOUT);
            confirmed(sent);
        } catch (NotRunException | OutcomeUnknownException e) {
            Events.warn("ownership-unconfirmed", "token", owner.epoch(), "cause", e.getMessage());
        }
    }
}
