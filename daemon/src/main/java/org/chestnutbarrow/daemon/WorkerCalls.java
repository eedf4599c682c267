package org.chestnutbarrow.daemon;

import java.util.ArrayDeque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.chestnutbarrow.model.WorkerId;

/** Bounds the calls in flight for each worker. Safe for use by several threads; each queue has its own lock. */
final class WorkerCalls {
    private static final int IN_FLIGHT = 4;

    /** Calls that may wait for one worker; more are dropped, and their senders repeat them. */
    private static final int WAITING = 1_000;

    private final Executor executor;
    private final ConcurrentHashMap<WorkerId, Queue> queues = new ConcurrentHashMap<>();

    /** {@code executor} runs each call on a thread that may block. */
    WorkerCalls(Executor executor) {
        this.executor = executor;
    }

    /** Runs the call when fewer than the bound are in flight for the worker; false if too many wait. */
    boolean submit(WorkerId worker, Runnable call) {
        return queues.computeIfAbsent(worker, id -> new Queue()).add(call);
    }

    /** The calls of one worker. */
    private final class Queue {
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private int running;

        synchronized boolean add(Runnable call) {
            if (waiting.size() >= WAITING) {
                return false;
            }
            waiting.add(call);
            next();
            return true;
        }

        private synchronized void next() {
            if (running < IN_FLIGHT && !waiting.isEmpty()) {
                Runnable call = waiting.poll();
                running++;
                executor.execute(() -> run(call));
            }
        }

        private void run(Runnable call) {
            try {
                call.run();
            } finally {
                ended();
            }
        }

        private synchronized void ended() {
            running--;
            next();
        }
    }
}
