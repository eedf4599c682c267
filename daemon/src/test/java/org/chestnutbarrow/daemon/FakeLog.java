package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.model.NotRunException;
import org.chestnutbarrow.model.OutcomeUnknownException;
import org.chestnutbarrow.model.UnavailableException;
import org.chestnutbarrow.ports.Log;

/** A log in memory that can fail, lose answers, lose records on their way, hold appends up and expire records. */
final class FakeLog implements Log {
    /** What happens to appends. */
    enum Fault {
        NONE,
        /** The record is appended but the answer is lost. */
        LOSE_ANSWER,
        /** The record is lost on its way. */
        LOSE_RECORD,
        REFUSE,
        /** Appends wait until the fault changes. */
        HOLD
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<Entry> entries = new ArrayList<>();
    private long first;
    private Fault fault = Fault.NONE;
    private boolean readsFail;
    private int appendCalls;
    private int readCalls;

    void fault(Fault next) {
        change(() -> fault = next);
    }

    void readsFail(boolean fail) {
        change(() -> readsFail = fail);
    }

    /** Expires all records before an offset. */
    void expire(long before) {
        change(() -> {
            first = before;
            entries.removeIf(entry -> entry.offset() < before);
        });
    }

    private void change(Runnable change) {
        lock.lock();
        try {
            change.run();
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    int appendCalls() {
        lock.lock();
        try {
            return appendCalls;
        } finally {
            lock.unlock();
        }
    }

    int readCalls() {
        lock.lock();
        try {
            return readCalls;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public long append(String id, byte[] record) throws NotRunException, OutcomeUnknownException {
        lock.lock();
        try {
            appendCalls++;
            while (fault == Fault.HOLD) {
                changed.awaitUninterruptibly();
            }
            if (fault == Fault.REFUSE) {
                throw new NotRunException("refused", "try again");
            }
            if (fault == Fault.LOSE_RECORD) {
                throw new OutcomeUnknownException("no answer", "read the log");
            }
            long offset = next();
            entries.add(new Entry(offset, record));
            changed.signalAll();
            if (fault == Fault.LOSE_ANSWER) {
                throw new OutcomeUnknownException("no answer", "read the log");
            }
            return offset;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Batch read(long from, int max, Duration wait) throws UnavailableException {
        lock.lock();
        try {
            readCalls++;
            long left = wait.toNanos();
            while (!readsFail && next() <= from && left > 0) {
                left = changed.awaitNanos(left);
            }
            if (readsFail) {
                throw new UnavailableException("outage", "wait");
            }
            List<Entry> found = entries.stream()
                    .filter(entry -> entry.offset() >= from)
                    .limit(max)
                    .toList();
            return new Batch(first, next(), found);
        } catch (InterruptedException e) {
            throw new UnavailableException("interrupted", "none", e);
        } finally {
            lock.unlock();
        }
    }

    private long next() {
        return entries.isEmpty() ? first : entries.getLast().offset() + 1;
    }

    /** Waits for a condition that another thread brings about. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("the condition did not come true within 30 s");
            }
            Thread.sleep(5);
        }
    }
}
