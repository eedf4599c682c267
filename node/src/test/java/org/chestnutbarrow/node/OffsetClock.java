package org.chestnutbarrow.node;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.TimeSource;

/** The system clocks plus an offset that a test can advance. Safe for use by several threads. */
final class OffsetClock implements TimeSource {
    private final AtomicLong offset = new AtomicLong();
    private final AtomicLong suspended = new AtomicLong();

    void advance(Duration duration) {
        offset.addAndGet(duration.toNanos());
    }

    /** Suspends the machine: the wall clock goes on, the monotonic clock stands still. */
    void suspend(Duration duration) {
        suspended.addAndGet(duration.toNanos());
    }

    @Override
    public Instant now() {
        return Instant.now().plusNanos(offset.get() + suspended.get());
    }

    @Override
    public long nanos() {
        return System.nanoTime() + offset.get();
    }
}
