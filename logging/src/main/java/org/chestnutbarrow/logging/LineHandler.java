package org.chestnutbarrow.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.logging.ErrorManager;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes lines on a dedicated thread from a bounded queue, so that callers never wait for the output. Lines that exceed
 * the queue capacity or the rate limit, or that the output does not take, are dropped, and their number is reported in a
 * {@code lines-dropped} line as soon as the output takes it. Warnings and errors are exempt from the rate limit, and a
 * part of the queue is reserved for them. Safe for use by several threads; the queue is guarded by the lock.
 */
final class LineHandler extends Handler {
    /** Rate limit of lines below warning level; the owner of 45 workers writes about 400 per second at peak load. */
    static final int MAX_LINES_PER_SECOND = 3000;
    /** Maximum number of queued lines, about 2 MB. */
    static final int QUEUE_CAPACITY = 8192;
    /** Part of the queue that is reserved for warnings and errors. */
    private static final int RESERVED_FOR_WARNINGS = QUEUE_CAPACITY / 4;
    /** Time for which lines are batched, because a system call per line costs more than formatting the line. */
    private static final Duration BATCH_TIME = Duration.ofMillis(100);
    /** Time between two attempts to report dropped lines to an output that takes nothing. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);
    /** Maximum time that {@link #close()} waits for the output. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    /**
     * Lines taken from the queue.
     *
     * @param entries the lines
     * @param dropped lines that were left out of the queue
     * @param open whether the handler was open
     */
    private record Batch(List<LogRecord> entries, LineWriter.Missing dropped, boolean open) {}

    private final LineWriter out;
    private final LongSupplier nanos;
    private final Thread writer =
            Thread.ofPlatform().daemon().name("log-writer").unstarted(this::write);

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition queued = lock.newCondition();
    private final Deque<LogRecord> queue = new ArrayDeque<>();
    private boolean writeNow;
    private boolean closed;
    private long secondStart;
    private int linesInSecond;
    private long dropped;
    private long droppedWarnings;

    /** Creates a handler; {@code nanos} is a monotonic clock. */
    LineHandler(OutputStream out, Formatter formatter, LongSupplier nanos) {
        this.out = new LineWriter(out);
        this.nanos = nanos;
        this.secondStart = nanos.getAsLong();
        setFormatter(formatter);
        writer.start();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry)) {
            return;
        }
        boolean warning = isWarning(entry);
        lock.lock();
        try {
            if (closed) {
                return;
            }
            if (warning
                    ? queue.size() >= QUEUE_CAPACITY
                    : queue.size() >= QUEUE_CAPACITY - RESERVED_FOR_WARNINGS || exceedsRate()) {
                dropped += warning ? 0 : 1;
                droppedWarnings += warning ? 1 : 0;
                return;
            }
            queue.addLast(entry);
            writeNow |= warning;
            if (warning || queue.size() == 1) {
                queued.signal();
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean exceedsRate() {
        long now = nanos.getAsLong();
        if (now - secondStart >= TimeUnit.SECONDS.toNanos(1)) {
            secondStart = now;
            linesInSecond = 0;
        }
        linesInSecond++;
        return linesInSecond > MAX_LINES_PER_SECOND;
    }

    private void write() {
        LineWriter.Missing unreported = LineWriter.Missing.NONE;
        try {
            boolean open = true;
            while (open) {
                Batch batch = takeQueued(unreported.any());
                batch.entries().forEach(this::addLine);
                out.flush();
                unreported = unreported.plus(batch.dropped()).plus(out.takeMissing());
                if (unreported.any() && report(unreported)) {
                    unreported = LineWriter.Missing.NONE;
                }
                open = batch.open();
            }
            out.close();
        } catch (IOException e) {
            reportError("cannot close the log", e, ErrorManager.CLOSE_FAILURE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void addLine(LogRecord entry) {
        out.add(getFormatter().format(entry), isWarning(entry));
    }

    private static boolean isWarning(LogRecord entry) {
        return entry.getLevel().intValue() >= Level.WARNING.intValue();
    }

    /** Writes the number of dropped lines; returns false if the output does not take it. */
    private boolean report(LineWriter.Missing dropped) {
        String line = Events.line("lines-dropped", "lines", dropped.lines(), "warnings", dropped.warnings());
        addLine(new LogRecord(Level.WARNING, line));
        out.flush();
        return !out.takeMissing().any();
    }

    /** Waits for lines, or until dropped ones are to be reported again, and takes all that are queued. */
    private Batch takeQueued(boolean reports) throws InterruptedException {
        lock.lock();
        try {
            long untilReport = REPORT_INTERVAL.toNanos();
            while (queue.isEmpty() && !closed && untilReport > 0) {
                if (reports) {
                    untilReport = queued.awaitNanos(untilReport);
                } else {
                    queued.await();
                }
            }
            long wait = BATCH_TIME.toNanos();
            while (!writeNow && !closed && wait > 0) {
                wait = queued.awaitNanos(wait);
            }
            Batch batch = new Batch(List.copyOf(queue), new LineWriter.Missing(dropped, droppedWarnings), !closed);
            queue.clear();
            writeNow = false;
            dropped = 0;
            droppedWarnings = 0;
            return batch;
        } finally {
            lock.unlock();
        }
    }

    /** Does nothing: queued lines are written shortly, and callers must not wait for the output. */
    @Override
    public void flush() {}

    @Override
    public void close() {
        lock.lock();
        try {
            closed = true;
            queued.signal();
        } finally {
            lock.unlock();
        }
        try {
            writer.join(CLOSE_TIMEOUT);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
