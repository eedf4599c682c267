package org.chestnutbarrow.logging;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Runs an action at an interval on a thread of its own. A failure of one run is logged and does not end the others. */
public final class Repeating implements AutoCloseable {
    private final ScheduledExecutorService executor;

    /** Starts at once; a run that takes longer than the interval delays the next one. */
    public Repeating(String name, Duration interval, Runnable action) {
        executor = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name(name).factory());
        Runnable guarded = () -> {
            try {
                action.run();
            } catch (RuntimeException e) {
                Events.warn("timer-failed", "timer", name, "error", e);
            }
        };
        executor.scheduleWithFixedDelay(guarded, 0, interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
