package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import org.chestnutbarrow.model.Checks;
import org.chestnutbarrow.model.LogRecord;
import org.chestnutbarrow.model.NotRunException;

/**
 * Writes entries of one kind to the log with group commit: one append runs at a time, and the entries that arrive
 * during it form the next group. Safe for use by several threads; the queue has its own lock, which is not held during
 * an append.
 *
 * @param <E> the type of the entries, such as receipts
 */
final class GroupCommitWriter<E> {
    private final LogWriter writer;
    private final Function<List<E>, LogRecord> recordFactory;
    private final ToIntFunction<E> entryBytes;
    private final Limits limits;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<QueuedEntry<E>> queue = new ArrayDeque<>();
    private boolean writing;

    /**
     * Limits on the groups and the queue.
     *
     * @param maxEntries maximum number of entries in one record
     * @param maxBytes maximum size of the entries in one record, in bytes
     * @param maxQueued maximum number of queued entries; more are rejected
     * @param pause time between an append and the next one, which limits the append rate; may be zero
     */
    record Limits(int maxEntries, int maxBytes, int maxQueued, Duration pause) {
        Limits {
            Checks.require(maxEntries > 0 && maxBytes > 0 && maxQueued > 0, "limits must be positive");
            Checks.require(!pause.isNegative(), "pause must not be negative");
        }
    }

    /**
     * The place of a written entry in the log.
     *
     * @param record the applied record that contains the entry
     * @param index the position of the entry in the record, which distinguishes equal entries
     */
    record WrittenEntry(AppliedRecord record, int index) {}

    private record QueuedEntry<E>(E entry, CompletableFuture<WrittenEntry> result) {}

    /**
     * Creates a writer.
     *
     * @param recordFactory creates the record of a group
     * @param entryBytes returns an upper bound of the encoded size of an entry, in bytes
     */
    GroupCommitWriter(
            LogWriter writer, Function<List<E>, LogRecord> recordFactory, ToIntFunction<E> entryBytes, Limits limits) {
        this.writer = writer;
        this.recordFactory = recordFactory;
        this.entryBytes = entryBytes;
        this.limits = limits;
    }

    /**
     * Writes an entry; does not block. The future fails with {@link NotRunException} if the entry was not appended, and
     * with another exception if it may have been.
     */
    CompletableFuture<WrittenEntry> write(E entry) {
        CompletableFuture<WrittenEntry> result = new CompletableFuture<>();
        lock.lock();
        try {
            if (queue.size() >= limits.maxQueued()) {
                result.completeExceptionally(
                        new NotRunException("the queue of entries for the log is full", "try again later"));
                return result;
            }
            queue.add(new QueuedEntry<>(entry, result));
            if (!writing) {
                writing = true;
                Thread.ofVirtual().name("log-group").start(this::drain);
            }
        } finally {
            lock.unlock();
        }
        return result;
    }

    private void drain() {
        for (List<QueuedEntry<E>> group = nextGroup(); !group.isEmpty(); group = nextGroup()) {
            append(group);
            if (!limits.pause().isZero()) {
                try {
                    Thread.sleep(limits.pause());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private List<QueuedEntry<E>> nextGroup() {
        List<QueuedEntry<E>> group = new ArrayList<>();
        lock.lock();
        try {
            int bytes = 0;
            while (!queue.isEmpty() && group.size() < limits.maxEntries()) {
                bytes += entryBytes.applyAsInt(queue.peek().entry());
                if (bytes > limits.maxBytes() && !group.isEmpty()) {
                    break;
                }
                group.add(queue.poll());
            }
            writing = !group.isEmpty();
            return group;
        } finally {
            lock.unlock();
        }
    }

    private void append(List<QueuedEntry<E>> group) {
        try {
            LogRecord groupRecord =
                    recordFactory.apply(group.stream().map(QueuedEntry::entry).toList());
            var _ = writer.append(groupRecord).whenComplete((applied, error) -> finish(group, applied, error));
        } catch (NotRunException | RuntimeException e) {
            finish(group, null, e);
        }
    }

    private static <E> void finish(List<QueuedEntry<E>> group, AppliedRecord applied, Throwable error) {
        for (int i = 0; i < group.size(); i++) {
            if (error == null) {
                group.get(i).result().complete(new WrittenEntry(applied, i));
            } else {
                group.get(i).result().completeExceptionally(error);
            }
        }
    }
}
