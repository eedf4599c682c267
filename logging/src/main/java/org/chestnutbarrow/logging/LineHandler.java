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
 * Writes lines by a thread of its own from a bounded queue, so that no caller waits for the output. Lines that exceed the
 * queue or the rate are left out and counted by a line {@code lines-dropped}; warnings and errors are not subject to the
 * rate and have a part of the queue to themselves. Safe for use by several threads; the queue is guarded by its lock.
 */
final class LineHandler extends Handler {
    /** Lines of normal operation in a second; the owner of 45 workers writes about 400 at its peak. */
    static final int LINES_PER_SECOND = 3000;
    /** Lines that wait for the output, about 2 MB. */
    static final int QUEUE = 8192;
    /** Part of the queue that only warnings and errors may use. */
    private static final int RESERVED = QUEUE / 4;
    /** Pause between two writes, because one system call for each line takes more time than the line. */
    private static final Duration PAUSE = Duration.ofMillis(100);
    /** Longest wait of a stop for the output. */
    private static final Duration CLOSE = Duration.ofSeconds(1);

    private final OutputStream to;
    private final LongSupplier nanos;
    private final Thread writer =
            Thread.ofPlatform().daemon().name("log-writer").unstarted(this::write);

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition queued = lock.newCondition();
    private final Deque<LogRecord> queue = new ArrayDeque<>();
    private boolean urgent;
    private boolean closed;
    private long secondStart;
    private int inSecond;
    private long dropped;
    private long droppedWarnings;

    /** Creates a handler; {@code nanos} is a steady clock. */
    LineHandler(OutputStream to, Formatter formatter, LongSupplier nanos) {
        this.to = to;
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
            if (warning ? queue.size() >= QUEUE : queue.size() >= QUEUE - RESERVED || overRate()) {
                dropped += warning ? 0 : 1;
                droppedWarnings += warning ? 1 : 0;
                return;
            }
            queue.addLast(entry);
            urgent |= warning;
            if (warning || queue.size() == 1) {
                queued.signal();
            }
        } finally {
            lock.unlock();
        }
    }

    private boolean overRate() {
        long now = nanos.getAsLong();
        if (now - secondStart >= TimeUnit.SECONDS.toNanos(1)) {
            secondStart = now;
            inSecond = 0;
        }
        inSecond++;
        return inSecond > LINES_PER_SECOND;
    }

    private void write() {
        try {
            boolean more = true;
            while (more) {
                StringBuilder text = new StringBuilder();
                more = take(text);
                to.write(text.toString().getBytes(StandardCharsets.UTF_8));
                to.flush();
            }
            to.close();
        } catch (IOException e) {
            reportError("the log cannot be written any more", e, java.util.logging.ErrorManager.WRITE_FAILURE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for lines and takes all of them; returns whether more may come. */
    private boolean take(StringBuilder into) throws InterruptedException {
        List<LogRecord> entries;
        long left;
        long leftWarnings;
        boolean more;
        lock.lock();
        try {
            while (queue.isEmpty() && !closed) {
                queued.await();
            }
            long wait = PAUSE.toNanos();
            while (!urgent && !closed && wait > 0) {
                wait = queued.awaitNanos(wait);
            }
            entries = new ArrayList<>(queue);
            queue.clear();
            urgent = false;
            left = dropped;
            leftWarnings = droppedWarnings;
            dropped = 0;
            droppedWarnings = 0;
            more = !closed;
        } finally {
            lock.unlock();
        }
        entries.forEach(entry -> into.append(getFormatter().format(entry)));
        if (left + leftWarnings > 0) {
            String line = Events.line("lines-dropped", "lines", left, "warnings", leftWarnings);
            into.append(getFormatter().format(new LogRecord(Level.WARNING, line)));
        }
        return more;
    }

    /** Has no effect: lines are written soon, and a caller must not wait for the output. */
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
            writer.join(CLOSE);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
