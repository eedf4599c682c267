package org.chestnutbarrow.node;

import java.time.Duration;

/** Utilities for the node's own threads. Stateless. */
final class Threads {
    private Threads() {}

    /** Sleeps; an interrupt ends the sleep early and leaves the interrupt status set. */
    static void sleep(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
