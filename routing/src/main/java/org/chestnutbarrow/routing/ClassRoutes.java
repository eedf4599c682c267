package org.chestnutbarrow.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.Target;
import org.chestnutbarrow.model.WorkClass;

/** All that routing keeps for one class. Safe for use by several threads: each part has its own lock or is atomic. */
final class ClassRoutes {
    private static final double USUAL_WEIGHT = 0.05;

    private final Scores scores = new Scores();
    private final WaitQueue queue = new WaitQueue();
    private final RetryBudget budget = new RetryBudget();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong usualNanos;

    private volatile long bound;

    ClassRoutes(WorkClass work) {
        bound = boundOf(work);
        usualNanos = new AtomicLong(bound / 4);
    }

    /** Takes over a changed target. */
    void update(WorkClass work) {
        bound = boundOf(work);
    }

    /** The class's latency bound in nanoseconds. */
    long bound() {
        return bound;
    }

    Scores scores() {
        return scores;
    }

    WaitQueue queue() {
        return queue;
    }

    RetryBudget budget() {
        return budget;
    }

    void began() {
        inFlight.incrementAndGet();
    }

    void ended() {
        inFlight.decrementAndGet();
    }

    /** The class's usual latency in nanoseconds. */
    double usual() {
        return usualNanos.get();
    }

    void answered(long nanos) {
        usualNanos.updateAndGet(usual -> Math.max(1, (long) (usual + USUAL_WEIGHT * (nanos - usual))));
    }

    /** How long a request that joins the queue now has to wait, in nanoseconds, by what is in flight. */
    long expectedWait() {
        int serving = Math.max(1, inFlight.get());
        return (long) (usual() * (queue.length() + 1) / serving);
    }

    private static long boundOf(WorkClass work) {
        return switch (work.target()) {
            case Target.TailLatency latency -> latency.bound().toNanos();
            case Target.FinishBy _, Target.AlwaysOn _ ->
                throw new IllegalArgumentException("class " + work.name() + " takes no requests");
        };
    }
}
