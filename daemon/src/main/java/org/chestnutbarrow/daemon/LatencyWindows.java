package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import org.HdrHistogram.Histogram;
import org.chestnutbarrow.model.TimeSource;

/**
 * Latency histograms of each work class over the last 10 to 20 seconds. Safe for use by several threads; each class has
 * its own lock.
 */
final class LatencyWindows {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int SIGNIFICANT_DIGITS = 2;

    private final TimeSource time;
    private final Map<String, Window> windows = new ConcurrentHashMap<>();

    LatencyWindows(TimeSource time) {
        this.time = time;
    }

    void record(String workClass, long nanos) {
        windows.computeIfAbsent(workClass, _ -> new Window(time.nanos())).add(nanos, time.nanos());
    }

    /** Returns a latency quantile of the recent responses, or empty if there were none. */
    Optional<Duration> quantile(String workClass, double quantile) {
        Window window = windows.get(workClass);
        return window == null ? Optional.empty() : window.quantile(quantile, time.nanos());
    }

    /** Two histograms, one for the current and one for the previous window. */
    private static final class Window {
        private final ReentrantLock lock = new ReentrantLock();
        private Histogram current = new Histogram(SIGNIFICANT_DIGITS);
        private Histogram previous = new Histogram(SIGNIFICANT_DIGITS);
        private long startedAt;

        Window(long now) {
            startedAt = now;
        }

        void add(long nanos, long now) {
            lock.lock();
            try {
                rotate(now);
                current.recordValue(Math.max(0, nanos));
            } finally {
                lock.unlock();
            }
        }

        Optional<Duration> quantile(double quantile, long now) {
            lock.lock();
            try {
                rotate(now);
                Histogram merged = previous.copy();
                merged.add(current);
                return merged.getTotalCount() == 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(merged.getValueAtPercentile(quantile * 100)));
            } finally {
                lock.unlock();
            }
        }

        private void rotate(long now) {
            if (now - startedAt < WINDOW_NANOS) {
                return;
            }
            Histogram oldest = previous;
            previous = current;
            oldest.reset();
            if (now - startedAt >= 2 * WINDOW_NANOS) {
                previous.reset();
            }
            current = oldest;
            startedAt = now;
        }
    }
}
