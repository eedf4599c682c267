package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.batch.Sensitivity;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.UnstorableException;

/**
 * Stores the sensitivities that one term has learnt on a thread of its own, so that orders and acknowledgements never wait
 * for them. Safe for use by two threads: one submits, the other runs.
 *
 * <p>Invariants: only the latest sensitivities wait; none are stored once a newer owner has stored some.
 */
final class SensitivityWriter {
    /** Differs from the writer of the progress, whose sequence numbers another thread assigns. */
    private static final String WRITER = "sensitivities";

    private static final Duration RETRY_DELAY = Duration.ofMillis(100);
    /** Time after which an idle thread checks whether the term has ended. */
    private static final Duration IDLE_WAIT = Duration.ofMillis(500);

    private final StateStore.Limits limits;
    private final JobReplica replica;
    private final SequencedWriter writer;
    private final AtomicReference<Optional<List<Sensitivity>>> waiting = new AtomicReference<>(Optional.empty());
    private final Semaphore submitted = new Semaphore(0);

    SensitivityWriter(StateStore store, JobReplica replica, long epoch) {
        this.limits = store.limits();
        this.replica = replica;
        this.writer = new SequencedWriter(store, StateStore.Topic.PROGRESS, WRITER, epoch);
    }

    /** Hands sensitivities over, in place of earlier ones that are not being stored yet. */
    void submit(List<Sensitivity> sensitivities) {
        waiting.set(Optional.of(sensitivities));
        submitted.release();
    }

    /** Stores what is submitted while {@code active} is true and no newer owner has stored sensitivities. */
    void run(BooleanSupplier active) {
        try {
            while (active.getAsBoolean()) {
                if (submitted.tryAcquire(IDLE_WAIT.toMillis(), TimeUnit.MILLISECONDS)) {
                    submitted.drainPermits();
                    Optional<List<Sensitivity>> next = waiting.getAndSet(Optional.empty());
                    if (next.isPresent()) {
                        store(JobReplica.sensitivitiesEntry(next.get(), limits), active);
                    }
                }
            }
        } catch (StaleEpochException e) {
            Events.info("sensitivities-superseded", "cause", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void store(StateStore.Entry entry, BooleanSupplier active) throws StaleEpochException {
        while (active.getAsBoolean()) {
            try {
                long offset = writer.append(List.of(entry), active);
                replica.applyStored(List.of(entry), offset);
                return;
            } catch (NotRunException e) {
                Events.warn("sensitivities-delayed", "cause", e.getMessage());
                Threads.sleep(RETRY_DELAY);
            } catch (UnstorableException e) {
                SequencedWriter.logUnstorable(entry, e);
                return;
            } catch (OutcomeUnknownException e) {
                // The writer gives up only once the term has ended.
                return;
            }
        }
    }
}
