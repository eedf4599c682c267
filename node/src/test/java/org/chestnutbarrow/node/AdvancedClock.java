package org.chestnutbarrow.node;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.TimeSource;

/** The system's clocks, moved ahead by a test. Safe for use by several threads. */
final class AdvancedClock implements TimeSource {
    private final AtomicLong ahead = new AtomicLong();

    void advance(Duration by) {
        ahead.addAndGet(by.toNanos());
    }

    @Override
    public Instant now() {
        return Instant.now().plusNanos(ahead.get());
    }

    @Override
    public long nanos() {
        return System.nanoTime() + ahead.get();
    }
}
