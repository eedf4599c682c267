package org.chestnutbarrow.node;

import java.time.Duration;

/** Waits of the node's own threads. Stateless. */
final class Pauses {
    private Pauses() {}

    /** Sleeps; an interrupt ends the wait early and is kept. */
    static void sleep(Duration time) {
        try {
            Thread.sleep(time);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
