package org.chestnutbarrow.peer;

import java.util.concurrent.atomic.LongAdder;

/** Bytes and frames in one direction over all connections of a link. Safe for use by several threads. */
final class Traffic {
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
