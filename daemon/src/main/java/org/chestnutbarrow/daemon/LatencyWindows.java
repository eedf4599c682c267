package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.ReentrantLock;
import org.HdrHistogram.Histogram;
import org.chestnutbarrow.model.TimeSource;

/**
 * Latencies of each class over the last one to two windows. Safe for use by several threads; each class has its own
 * lock.
 */
final class LatencyWindows {
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();
    private static final int DIGITS = 2;

    private final TimeSource time;
    private final Map<String, Window> windows = new ConcurrentHashMap<>();

    LatencyWindows(TimeSource time) {
        this.time = time;
    }

    void add(String workClass, long nanos) {
        windows.computeIfAbsent(workClass, _ -> new Window(time.nanos())).add(nanos, time.nanos());
    }

    /** The latency that a share of the answers stayed within; empty if there were none lately. */
    Optional<Duration> quantile(String workClass, double quantile) {
        Window window = windows.get(workClass);
        return window == null ? Optional.empty() : window.quantile(quantile, time.nanos());
    }

    /** Two histograms that take turns. */
    private static final class Window {
        private final ReentrantLock lock = new ReentrantLock();
        private Histogram current = new Histogram(DIGITS);
        private Histogram last = new Histogram(DIGITS);
        private long began;

        Window(long now) {
            began = now;
        }

        void add(long nanos, long now) {
            lock.lock();
            try {
                turn(now);
                current.recordValue(Math.max(0, nanos));
            } finally {
                lock.unlock();
            }
        }

        Optional<Duration> quantile(double quantile, long now) {
            lock.lock();
            try {
                turn(now);
                Histogram both = last.copy();
                both.add(current);
                return both.getTotalCount() == 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(both.getValueAtPercentile(quantile * 100)));
            } finally {
                lock.unlock();
            }
        }

        private void turn(long now) {
            if (now - began < WINDOW_NANOS) {
                return;
            }
            Histogram oldest = last;
            last = current;
            oldest.reset();
            if (now - began >= 2 * WINDOW_NANOS) {
                last.reset();
            }
            current = oldest;
            began = now;
        }
    }
}
