package org.chestnutbarrow.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs the handlers of one peer's one-way messages sequentially, across all its connections. Thread-safe; the queue is
 * bounded by the number of messages in progress that the connections permit.
 */
final class SerialExecutor {
    private final Executor executor;
    private final ReentrantLock lock = new ReentrantLock();
    private final Queue<Runnable> pending = new ArrayDeque<>();
    private boolean running;

    SerialExecutor(Executor executor) {
        this.executor = executor;
    }

    void execute(Runnable task) {
        lock.lock();
        try {
            pending.add(task);
            if (running) {
                return;
            }
            running = true;
        } finally {
            lock.unlock();
        }
        executor.execute(this::drain);
    }

    private void drain() {
        Runnable next = take();
        while (next != null) {
            next.run();
            next = take();
        }
    }

    private Runnable take() {
        lock.lock();
        try {
            Runnable next = pending.poll();
            running = next != null;
            return next;
        } finally {
            lock.unlock();
        }
    }
}
