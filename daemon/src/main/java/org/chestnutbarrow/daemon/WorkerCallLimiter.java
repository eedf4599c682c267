package org.chestnutbarrow.daemon;

import java.util.ArrayDeque;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.chestnutbarrow.model.WorkerId;

/** Limits the concurrent calls to each worker. Safe for use by several threads; each queue has its own lock. */
final class WorkerCallLimiter {
    private static final int MAX_IN_FLIGHT = 4;

    /** Maximum number of waiting calls per worker; further calls are rejected, and their senders repeat them. */
    private static final int MAX_WAITING = 1_000;

    private final Executor executor;
    private final ConcurrentHashMap<WorkerId, Queue> queues = new ConcurrentHashMap<>();

    /**
     * Creates a limiter.
     *
     * @param executor runs each call on a thread that may block
     */
    WorkerCallLimiter(Executor executor) {
        this.executor = executor;
    }

    /** Runs the call once fewer than {@link #MAX_IN_FLIGHT} are running; returns false if too many are waiting. */
    boolean submit(WorkerId worker, Runnable call) {
        return queues.computeIfAbsent(worker, id -> new Queue()).add(call);
    }

    /** The running and waiting calls of one worker. */
    private final class Queue {
        private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        private int running;

        synchronized boolean add(Runnable call) {
            if (waiting.size() >= MAX_WAITING) {
                return false;
            }
            waiting.add(call);
            startNext();
            return true;
        }

        private synchronized void startNext() {
            if (running < MAX_IN_FLIGHT && !waiting.isEmpty()) {
                Runnable call = waiting.poll();
                running++;
                executor.execute(() -> run(call));
            }
        }

        private void run(Runnable call) {
            try {
                call.run();
            } finally {
                onEnd();
            }
        }

        private synchronized void onEnd() {
            running--;
            startNext();
        }
    }
}
