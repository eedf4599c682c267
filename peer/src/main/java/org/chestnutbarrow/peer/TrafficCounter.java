package org.chestnutbarrow.peer;

import java.util.concurrent.atomic.LongAdder;

/** Counts bytes and frames in one direction over all connections of a link. Thread-safe. */
final class TrafficCounter {
    private final LongAdder bytes = new LongAdder();
    private final LongAdder frames = new LongAdder();

    void addBytes(int count) {
        bytes.add(count);
    }

    void addFrame() {
        frames.increment();
    }

    long bytes() {
        return bytes.sum();
    }

    long frames() {
        return frames.sum();
    }
}
