package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.StaleEpochException;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.UnstorableException;

/**
 * Appends the entries of callers to the jobs topic and combines waiting entries into one append. Thread-safe; the
 * queue is guarded by its monitor.
 *
 * <p>Invariant: an entry is reported as not stored only if it was never sent, or if the store rejected it and no
 * earlier attempt has an unknown outcome.
 */
final class JobWriter {
    /** Bounds how long the first entries of an append wait for its answer. */
    private static final int MAX_BATCH_ENTRIES = 100;
    /** Maximum size of the record of an entry if the store accepts as much. */
    static final int MAX_ENTRY_BYTES = 250 * 1024;

    /**
     * Time after which an entry is no longer appended. Its caller has given up long before, and a cancellation of a job
     * that is not stored is kept only for {@link EndedJobCleaner#RETENTION}. It counts from the call, since a process may be
     * suspended while an entry waits.
     */
    static final Duration MAX_REPEAT_TIME = Duration.ofSeconds(60);

    private static final class PendingEntry {
        final StateStore.Entry entry;
        /** When the caller handed the entry over, ns. */
        final long since;

        final CompletableFuture<JobService.Receipt> result = new CompletableFuture<>();

        PendingEntry(StateStore.Entry entry, long since) {
            this.entry = entry;
            this.since = since;
        }

        int bytes() {
            return SequencedWriter.sizeBytes(entry);
        }
    }

    private final StateStore store;
    private final String name;
    private final TimeSource time;
    private final Deque<PendingEntry> queue = new ArrayDeque<>();
    /** Accessed only by the writing thread. */
    private long epoch = 1;
    /** Accessed only by the writing thread. */
    private SequencedWriter writer;

    JobWriter(StateStore store, String name, TimeSource time) {
        this.store = store;
        this.name = name;
        this.time = time;
        this.writer = new SequencedWriter(store, StateStore.Topic.JOBS, name, epoch);
    }

    /** Returns whether an entry is small enough to be appended. */
    boolean accepts(StateStore.Entry entry) {
        int valueBytes = entry.value().map(value -> value.length).orElse(0);
        return entry.recordBytes() <= MAX_ENTRY_BYTES
                && valueBytes <= store.limits().maxValueBytes(entry.key());
    }

    /** Appends an entry and waits up to {@code timeout} for the outcome. */
    JobService.Receipt append(StateStore.Entry entry, Duration timeout) {
        PendingEntry pending = new PendingEntry(entry, time.nanos());
        synchronized (queue) {
            queue.addLast(pending);
            queue.notifyAll();
        }
        try {
            return pending.result.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            synchronized (queue) {
                return queue.remove(pending) ? JobService.Receipt.NOT_STORED : JobService.Receipt.UNKNOWN;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return JobService.Receipt.UNKNOWN;
        } catch (ExecutionException e) {
            Events.warn("append-failed", "cause", e.getMessage());
            return JobService.Receipt.UNKNOWN;
        }
    }

    /** Writes queued entries until the thread is interrupted. */
    void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                writeBatch(nextBatch());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private List<PendingEntry> nextBatch() throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty()) {
                queue.wait();
            }
            List<PendingEntry> batch = new ArrayList<>();
            dropOldEntries();
            int bytes = 0;
            while (!queue.isEmpty() && batch.size() < MAX_BATCH_ENTRIES) {
                bytes += queue.peekFirst().bytes();
                if (!batch.isEmpty() && bytes > writer.maxChunkBytes()) {
                    break;
                }
                batch.add(queue.removeFirst());
            }
            return batch;
        }
    }

    /** Refuses the first entries of the queue that have waited for too long. */
    private void dropOldEntries() {
        long now = time.nanos();
        while (!queue.isEmpty() && now - queue.peekFirst().since >= MAX_REPEAT_TIME.toNanos()) {
            queue.removeFirst().result.complete(JobService.Receipt.NOT_STORED);
        }
    }

    private void writeBatch(List<PendingEntry> batch) {
        if (batch.isEmpty()) {
            return;
        }
        JobService.Receipt receipt;
        long repeatUntil = batch.getFirst().since + MAX_REPEAT_TIME.toNanos();
        try {
            writer.append(
                    batch.stream().map(pending -> pending.entry).toList(),
                    () -> !Thread.currentThread().isInterrupted() && time.nanos() - repeatUntil < 0);
            receipt = JobService.Receipt.STORED;
        } catch (UnstorableException e) {
            if (batch.size() > 1) {
                // The others are stored, and each caller gets the outcome of its own entry.
                SequencedWriter.halves(batch).forEach(this::writeBatch);
                return;
            }
            SequencedWriter.logUnstorable(batch.getFirst().entry, e);
            receipt = JobService.Receipt.UNSTORABLE;
        } catch (NotRunException e) {
            Events.warn("append-refused", "entries", batch.size(), "cause", e.getMessage());
            receipt = JobService.Receipt.NOT_STORED;
        } catch (OutcomeUnknownException e) {
            Events.warn("append-unresolved", "entries", batch.size(), "cause", e.getMessage());
            receipt = JobService.Receipt.UNKNOWN;
            // Its sequence number may be taken. Once the next epoch is in use, the store refuses the append if it is
            // late.
            writer = new SequencedWriter(store, StateStore.Topic.JOBS, name, ++epoch);
        } catch (StaleEpochException e) {
            Events.warn("append-stale", "entries", batch.size(), "cause", e.getMessage());
            receipt = JobService.Receipt.NOT_STORED;
        }
        for (PendingEntry pending : batch) {
            pending.result.complete(receipt);
        }
    }
}
