package org.chestnutbarrow.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.chestnutbarrow.model.TimeSource;

/**
 * Counts the accepted jobs of each client account in the last seconds, on all nodes together. Thread-safe; guarded by
 * its own monitor.
 *
 * <p>Invariant: no account has more than {@link #MAX_COUNT} entries.
 */
final class SubmissionRates {
    static final Duration WINDOW = Duration.ofSeconds(5);
    /** Bounds the memory of an account; more than any agreed rate accepts in the window. */
    private static final int MAX_COUNT = 10_000;

    private final TimeSource time;
    /** Times of the submissions by the wall clock, in ms, in the order in which they were read. */
    private final Map<String, Deque<Long>> submissions = new HashMap<>();

    SubmissionRates(TimeSource time) {
        this.time = time;
    }

    /** Records an accepted job of an account. */
    synchronized void record(String account, Instant submitted) {
        long since = windowBegin();
        if (account.isEmpty() || submitted.toEpochMilli() < since) {
            return;
        }
        Deque<Long> times = submissions.computeIfAbsent(account, _ -> new ArrayDeque<>());
        removeOld(times, since);
        if (times.size() < MAX_COUNT) {
            times.addLast(submitted.toEpochMilli());
        }
    }

    /** Returns the number of jobs of an account that were accepted in the window. */
    synchronized int recent(String account) {
        Deque<Long> times = submissions.get(account);
        if (times == null) {
            return 0;
        }
        removeOld(times, windowBegin());
        if (times.isEmpty()) {
            submissions.remove(account);
        }
        return times.size();
    }

    private long windowBegin() {
        return time.now().minus(WINDOW).toEpochMilli();
    }

    private static void removeOld(Deque<Long> times, long since) {
        while (!times.isEmpty() && times.peekFirst() < since) {
            times.removeFirst();
        }
    }
}
