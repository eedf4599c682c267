package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnstorableException;

/**
 * Tracks when the store last confirmed a term of ownership, and asks for a confirmation when the last one is too old.
 * Safe for use by several threads.
 *
 * <p>Invariant: no newer owner had stored anything at the time of the last confirmation.
 */
final class OwnershipConfirmation {
    /** Age of the last confirmation after which the store is asked for a new one. */
    private static final Duration MAX_AGE = Duration.ofSeconds(2);
    /** Time between two checks of the age. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    /** Timeout of a request; a slow store answers within 0.4 s. */
    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final StateStore store;
    private final StateStore.Writer writer;
    private final TimeSource time;
    private volatile long confirmedAt;

    /** Creates a tracker that counts as confirmed now; {@code writer} is the writer of progress with its epoch. */
    OwnershipConfirmation(StateStore store, StateStore.Writer writer, TimeSource time) {
        this.store = store;
        this.writer = writer;
        this.time = time;
        this.confirmedAt = time.nanos();
    }

    /** Returns the time since the last confirmation. */
    Duration age() {
        return Duration.ofNanos(time.nanos() - confirmedAt);
    }

    /** Records that the store confirmed the term in a call sent at {@code sentAt}, ns. */
    synchronized void confirmed(long sentAt) {
        confirmedAt = Math.max(confirmedAt, sentAt);
    }

    /**
     * Keeps the term confirmed, while {@code active} is true, even when there is nothing to store and topics cannot be
     * read.
     *
     * @throws StaleEpochException if a newer owner exists
     */
    void run(BooleanSupplier active) throws StaleEpochException {
        while (active.getAsBoolean()) {
            if (age().compareTo(MAX_AGE) > 0) {
                requestConfirmation();
            }
            Threads.sleep(CHECK_INTERVAL);
        }
    }

    private void requestConfirmation() throws StaleEpochException {
        try {
            long sentAt = time.nanos();
            store.append(StateStore.Topic.PROGRESS, List.of(), writer, TIMEOUT);
            confirmed(sentAt);
        } catch (NotRunException | OutcomeUnknownException | UnstorableException e) {
            Events.warn("ownership-unconfirmed", "token", writer.epoch(), "cause", e.getMessage());
        }
    }
}
