package org.chestnutbarrow.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Runs the messages without an answer of one peer one after the other, over all its connections. Safe for use by several
 * threads; bounded by what the connections let through.
 */
final class Inbox {
    private final Executor executor;
    private final ReentrantLock lock = new ReentrantLock();
    private final Queue<Runnable> waiting = new ArrayDeque<>();
    private boolean running;

    Inbox(Executor executor) {
        this.executor = executor;
    }

    void add(Runnable message) {
        lock.lock();
        try {
            waiting.add(message);
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
            Runnable next = waiting.poll();
            running = next != null;
            return next;
        } finally {
            lock.unlock();
        }
    }
}
