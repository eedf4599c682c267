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
 * Writes entries of one kind in groups: one append at a time, and what arrives meanwhile goes with the next. Safe for
 * use by several threads; the queue is under its own lock, which is not held during an append.
 *
 * @param <E> kind of entry, such as the end of a task or a receipt
 */
final class GroupWriter<E> {
    private final LogWriter writer;
    private final Function<List<E>, LogRecord> record;
    private final ToIntFunction<E> bytes;
    private final Bounds bounds;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Waiting<E>> queue = new ArrayDeque<>();
    private boolean writing;

    /**
     * Bounds of a group.
     *
     * @param entries most entries in one record
     * @param bytes most bytes of entries in one record
     * @param queued most entries that wait; further ones are refused
     * @param pace least time between the starts of two appends, to stay within the log's rate; may be zero
     */
    record Bounds(int entries, int bytes, int queued, Duration pace) {
        Bounds {
            Checks.require(entries > 0 && bytes > 0 && queued > 0, "bounds must be positive");
            Checks.require(!pace.isNegative(), "pace must not be negative");
        }
    }

    /**
     * The record that an entry went with.
     *
     * @param record the record as applied
     * @param index position of the entry in it, which tells apart equal entries
     */
    record Written(AppliedRecord record, int index) {}

    private record Waiting<E>(E entry, CompletableFuture<Written> result) {}

    /**
     * Creates a writer.
     *
     * @param record makes the record of a group
     * @param bytes upper bound of the encoded size of an entry
     */
    GroupWriter(LogWriter writer, Function<List<E>, LogRecord> record, ToIntFunction<E> bytes, Bounds bounds) {
        this.writer = writer;
        this.record = record;
        this.bytes = bytes;
        this.bounds = bounds;
    }

    /**
     * Writes an entry; does not block. The result fails with {@link NotRunException} if it was not appended, and with
     * another exception if it may have been.
     */
    CompletableFuture<Written> write(E entry) {
        CompletableFuture<Written> result = new CompletableFuture<>();
        lock.lock();
        try {
            if (queue.size() >= bounds.queued()) {
                result.completeExceptionally(
                        new NotRunException("too many entries wait for the log", "try again later"));
                return result;
            }
            queue.add(new Waiting<>(entry, result));
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
        for (List<Waiting<E>> group = next(); !group.isEmpty(); group = next()) {
            append(group);
            if (!bounds.pace().isZero()) {
                try {
                    Thread.sleep(bounds.pace());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private List<Waiting<E>> next() {
        List<Waiting<E>> group = new ArrayList<>();
        lock.lock();
        try {
            int size = 0;
            while (!queue.isEmpty() && group.size() < bounds.entries()) {
                size += bytes.applyAsInt(queue.peek().entry());
                if (size > bounds.bytes() && !group.isEmpty()) {
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

    private void append(List<Waiting<E>> group) {
        try {
            LogRecord made = record.apply(group.stream().map(Waiting::entry).toList());
            var _ = writer.append(made).whenComplete((applied, error) -> finish(group, applied, error));
        } catch (NotRunException | RuntimeException e) {
            finish(group, null, e);
        }
    }

    private static <E> void finish(List<Waiting<E>> group, AppliedRecord applied, Throwable error) {
        for (int i = 0; i < group.size(); i++) {
            if (error == null) {
                group.get(i).result().complete(new Written(applied, i));
            } else {
                group.get(i).result().completeExceptionally(error);
            }
        }
    }
}
