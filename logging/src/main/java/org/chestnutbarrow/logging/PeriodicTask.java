package org.chestnutbarrow.logging;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs an action periodically on a dedicated thread. Safe for use by several threads.
 *
 * <p>Invariant: a run that fails, even with an error such as a stack overflow, is logged, and later runs continue.
 */
public final class PeriodicTask implements AutoCloseable {
    private final ScheduledExecutorService executor;

    /** Starts the first run immediately; {@code interval} is the delay from the end of a run to the next one. */
    public PeriodicTask(String name, Duration interval, Runnable action) {
        executor = Executors.newSingleThreadScheduledExecutor(
                Thread.ofPlatform().daemon().name(name).factory());
        Runnable loggingAction = () -> {
            try {
                action.run();
            } catch (RuntimeException | Error e) {
                Events.warn("timer-failed", "timer", name, "error", e);
            }
        };
        executor.scheduleWithFixedDelay(loggingAction, 0, interval.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
