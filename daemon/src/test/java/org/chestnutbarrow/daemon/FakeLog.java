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

/** An in-memory log that can fail, lose answers or records, block appends and expire records. */
final class FakeLog implements Log {
    /** The fault that affects appends. */
    enum Fault {
        NONE,
        /** The record is appended but the answer is lost. */
        LOSE_ANSWER,
        /** The record is lost before it is appended, and there is no answer. */
        LOSE_RECORD,
        /** Appends are rejected. */
        REFUSE,
        /** Appends block until the fault changes. */
        BLOCK
    }

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final List<Entry> entries = new ArrayList<>();
    private long firstOffset;
    private Fault fault = Fault.NONE;
    private boolean readsFail;
    private int appendCalls;
    private int readCalls;

    void setFault(Fault newFault) {
        update(() -> fault = newFault);
    }

    void setReadsFail(boolean fail) {
        update(() -> readsFail = fail);
    }

    /** Expires all records before an offset. */
    void expireBefore(long offset) {
        update(() -> {
            firstOffset = offset;
            entries.removeIf(entry -> entry.offset() < offset);
        });
    }

    private void update(Runnable update) {
        lock.lock();
        try {
            update.run();
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
            while (fault == Fault.BLOCK) {
                changed.awaitUninterruptibly();
            }
            if (fault == Fault.REFUSE) {
                throw new NotRunException("refused", "try again");
            }
            if (fault == Fault.LOSE_RECORD) {
                throw new OutcomeUnknownException("no answer", "read the log");
            }
            long offset = nextOffset();
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
            long remaining = wait.toNanos();
            while (!readsFail && nextOffset() <= from && remaining > 0) {
                remaining = changed.awaitNanos(remaining);
            }
            if (readsFail) {
                throw new UnavailableException("outage", "wait");
            }
            List<Entry> found = entries.stream()
                    .filter(entry -> entry.offset() >= from)
                    .limit(max)
                    .toList();
            return new Batch(firstOffset, nextOffset(), found);
        } catch (InterruptedException e) {
            throw new UnavailableException("interrupted", "none", e);
        } finally {
            lock.unlock();
        }
    }

    private long nextOffset() {
        return entries.isEmpty() ? firstOffset : entries.getLast().offset() + 1;
    }

    /** Waits until a condition that another thread fulfils is true. */
    static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadline > 0) {
                throw new AssertionError("the condition was not met within 30 s");
            }
            Thread.sleep(5);
        }
    }
}
