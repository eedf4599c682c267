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

/**
 * Appends what callers hand in, all that waits in one call. Safe for use by several threads; the queue is guarded by its
 * monitor.
 *
 * <p>Invariant: an entry is reported as not stored only if it was never sent, or the store has refused it and no earlier
 * try is unresolved.
 */
final class JobWriter {
    /** Bounds one call well below the store's limit of 2 MiB. */
    private static final int MOST_ENTRIES = 100;

    private static final class Item {
        final StateStore.Entry entry;
        final CompletableFuture<JobService.Receipt> result = new CompletableFuture<>();

        Item(StateStore.Entry entry) {
            this.entry = entry;
        }
    }

    private final SequencedWriter writer;
    private final Deque<Item> queue = new ArrayDeque<>();

    JobWriter(StateStore store, String name) {
        writer = new SequencedWriter(store, StateStore.Topic.JOBS, name, 1);
    }

    /** Appends an entry and waits for the outcome. */
    JobService.Receipt append(StateStore.Entry entry, Duration within) {
        Item item = new Item(entry);
        synchronized (queue) {
            queue.addLast(item);
            queue.notifyAll();
        }
        try {
            return item.result.get(within.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            synchronized (queue) {
                return queue.remove(item) ? JobService.Receipt.NOT_STORED : JobService.Receipt.UNKNOWN;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return JobService.Receipt.UNKNOWN;
        } catch (ExecutionException e) {
            Events.warn("append-failed", "cause", e.getMessage());
            return JobService.Receipt.UNKNOWN;
        }
    }

    /** Appends until the thread is interrupted. */
    void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                write(next());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private List<Item> next() throws InterruptedException {
        synchronized (queue) {
            while (queue.isEmpty()) {
                queue.wait();
            }
            List<Item> items = new ArrayList<>();
            while (!queue.isEmpty() && items.size() < MOST_ENTRIES) {
                items.add(queue.removeFirst());
            }
            return items;
        }
    }

    private void write(List<Item> items) {
        JobService.Receipt receipt;
        try {
            writer.append(
                    items.stream().map(i -> i.entry).toList(),
                    () -> !Thread.currentThread().isInterrupted());
            receipt = JobService.Receipt.STORED;
        } catch (NotRunException e) {
            Events.warn("append-refused", "entries", items.size(), "cause", e.getMessage());
            receipt = JobService.Receipt.NOT_STORED;
        } catch (OutcomeUnknownException e) {
            Events.warn("append-unresolved", "entries", items.size(), "cause", e.getMessage());
            receipt = JobService.Receipt.UNKNOWN;
        } catch (StaleEpochException e) {
            Events.warn("append-stale", "entries", items.size(), "cause", e.getMessage());
            receipt = JobService.Receipt.NOT_STORED;
        }
        for (Item item : items) {
            item.result.complete(receipt);
        }
    }
}
