package org.chestnutbarrow.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.WorkClass;

/** Routing state of one work class. Safe for use by several threads: each part has its own lock or is atomic. */
final class ClassRoutingState {
    /** Weight of the newest sample in the typical latency. */
    private static final double LATENCY_WEIGHT = 0.05;

    private final WorkerScores scores = new WorkerScores();
    private final WaitQueue queue = new WaitQueue();
    private final RetryBudget retryBudget = new RetryBudget();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong typicalLatencyNanos;

    private volatile long latencyBoundNanos;

    ClassRoutingState(WorkClass workClass) {
        latencyBoundNanos = latencyBoundOf(workClass);
        typicalLatencyNanos = new AtomicLong(latencyBoundNanos / 4);
    }

    /** Applies a changed target. */
    void update(WorkClass workClass) {
        latencyBoundNanos = latencyBoundOf(workClass);
    }

    /** Returns the latency bound of the class in nanoseconds. */
    long latencyBoundNanos() {
        return latencyBoundNanos;
    }

    WorkerScores scores() {
        return scores;
    }

    WaitQueue queue() {
        return queue;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    void requestStarted() {
        inFlight.incrementAndGet();
    }

    void requestEnded() {
        inFlight.decrementAndGet();
    }

    /** Returns the typical latency of the class in nanoseconds, a moving average. */
    double typicalLatencyNanos() {
        return typicalLatencyNanos.get();
    }

    void recordLatency(long nanos) {
        typicalLatencyNanos.updateAndGet(typical -> Math.max(1, (long) (typical + LATENCY_WEIGHT * (nanos - typical))));
    }

    /** Estimates the wait of a request that is queued now, in nanoseconds, from the requests in flight. */
    long expectedWaitNanos() {
        int servedConcurrently = Math.max(1, inFlight.get());
        return (long) (typicalLatencyNanos() * (queue.length() + 1) / servedConcurrently);
    }

    private static long latencyBoundOf(WorkClass workClass) {
        return switch (workClass.target()) {
            case Target.TailLatency latency -> latency.bound().toNanos();
            case Target.FinishBy _, Target.AlwaysOn _ ->
                throw new IllegalArgumentException("class " + workClass.name() + " takes no requests");
        };
    }
}
