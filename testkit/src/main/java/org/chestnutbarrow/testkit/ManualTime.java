package org.chestnutbarrow.testkit;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.TimeSource;

/** A clock that moves only when told to. Safe for use by several threads. */
public final class ManualTime implements TimeSource {
    private final Instant start = Instant.parse("2026-01-01T00:00:00Z");
    private final AtomicLong nanos = new AtomicLong();

    /** Moves both clocks forward. */
    public void advance(Duration by) {
        nanos.addAndGet(by.toNanos());
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
