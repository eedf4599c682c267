package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.chestnutbarrow.logging.Events;

/** Utilities for the node's own threads. Stateless. */
final class Threads {
    /** Pause before a loop that has failed is started again, so that a lasting fault does not occupy the processor. */
    private static final Duration RESTART_DELAY = Duration.ofMillis(500);

    private Threads() {}

    /** Sleeps; an interrupt ends the sleep early and leaves the interrupt status set. */
    static void sleep(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs a loop, and starts it again after an unexpected exception or error, such as a lack of memory for a moment,
     * while {@code active} is true. A node whose loop has ended would go on with an old copy or an unheld worker without
     * anyone noticing.
     *
     * @param onFailure called after each failure
     */
    static void runSupervised(String name, Runnable loop, BooleanSupplier active, Runnable onFailure) {
        boolean failed = true;
        while (failed && active.getAsBoolean() && !Thread.currentThread().isInterrupted()) {
            try {
                loop.run();
                failed = false;
            } catch (RuntimeException | Error e) {
                Events.warn("thread-failed", "thread", name, "cause", e);
                onFailure.run();
                sleep(RESTART_DELAY);
            }
        }
    }
}
