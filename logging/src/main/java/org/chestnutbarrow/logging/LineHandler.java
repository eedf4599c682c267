package org.chestnutbarrow.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes lines on a dedicated thread from a bounded queue, so that callers never wait for the output. Lines that exceed
 * the queue capacity or the rate limit are dropped, and their number is reported in a {@code lines-dropped} line.
 * Warnings and errors are exempt from the rate limit, and a part of the queue is reserved for them. Safe for use by
 * several threads; the queue is guarded by the lock.
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
    /** Maximum time that {@link #close()} waits for the output. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(1);

    private final OutputStream out;
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
        this.out = out;
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
        boolean warning = entry.getLevel().intValue() >= Level.WARNING.intValue();
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
        try {
            boolean open = true;
            while (open) {
                StringBuilder text = new StringBuilder();
                open = takeQueued(text);
                out.write(text.toString().getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            out.close();
        } catch (IOException e) {
            reportError("cannot write the log; logging has stopped", e, java.util.logging.ErrorManager.WRITE_FAILURE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for lines and appends all queued ones to {@code text}; returns false once the handler is closed. */
    private boolean takeQueued(StringBuilder text) throws InterruptedException {
        List<LogRecord> entries;
        long droppedLines;
        long droppedWarningLines;
        boolean open;
        lock.lock();
        try {
            while (queue.isEmpty() && !closed) {
                queued.await();
            }
            long wait = BATCH_TIME.toNanos();
            while (!writeNow && !closed && wait > 0) {
                wait = queued.awaitNanos(wait);
            }
            entries = new ArrayList<>(queue);
            queue.clear();
            writeNow = false;
            droppedLines = dropped;
            droppedWarningLines = droppedWarnings;
            dropped = 0;
            droppedWarnings = 0;
            open = !closed;
        } finally {
            lock.unlock();
        }
        entries.forEach(entry -> text.append(getFormatter().format(entry)));
        if (droppedLines + droppedWarningLines > 0) {
            String line = Events.line("lines-dropped", "lines", droppedLines, "warnings", droppedWarningLines);
            text.append(getFormatter().format(new LogRecord(Level.WARNING, line)));
        }
        return open;
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
