package org.chestnutbarrow.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** Sliding window of the service times of the last second. Guarded by the lock of {@link WorkerState}. */
final class ServiceTimeWindow {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double PERCENTILE = 0.99;

    private final Deque<Sample> samples = new ArrayDeque<>();

    void add(long now, long durationNanos) {
        expire(now);
        samples.add(new Sample(now, durationNanos));
    }

    long p99Micros(long now) {
        expire(now);
        long[] sorted =
                samples.stream().mapToLong(Sample::durationNanos).sorted().toArray();
        if (sorted.length == 0) {
            return 0;
        }
        int rank = (int) Math.ceil(sorted.length * PERCENTILE) - 1;
        return TimeUnit.NANOSECONDS.toMicros(sorted[rank]);
    }

    private void expire(long now) {
        while (!samples.isEmpty() && now - samples.peek().recordedAt() > WINDOW_NANOS) {
            samples.remove();
        }
    }

    private record Sample(long recordedAt, long durationNanos) {}
}
