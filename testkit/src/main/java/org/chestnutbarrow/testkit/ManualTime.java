package org.chestnutbarrow.testkit;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.TimeSource;

/** A time source that advances only on request. Thread-safe. */
public final class ManualTime implements TimeSource {
    private final Instant start = Instant.parse("2026-01-01T00:00:00Z");
    private final AtomicLong nanos = new AtomicLong();

    /** Advances wall-clock and monotonic time together. */
    public void advance(Duration duration) {
        nanos.addAndGet(duration.toNanos());
    }

    @Override
    public Instant now() {
        return start.plusNanos(nanos.get());
    }

    @Override
    public long nanos() {
        return nanos.get();
    }
}
