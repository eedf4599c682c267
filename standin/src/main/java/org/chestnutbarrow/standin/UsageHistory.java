package org.chestnutbarrow.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;

/** Usage reports of a worker, served with a configured lag. Thread-safe. */
final class UsageHistory {
    private final long lagMs;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<UsageReport> reports = new ArrayDeque<>();

    UsageHistory(long lagMs) {
        this.lagMs = lagMs;
    }

    void add(UsageReport report) {
        lock.lock();
        try {
            reports.add(report);
            // Keep the first report until the second one is old enough to be served.
            while (reports.size() > 1 && second().asOf() <= report.asOf() - lagMs) {
                reports.remove();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Returns the newest report that is at least as old as the lag, or the oldest one if there is none. */
    UsageReport reportAt(long nowMs) {
        lock.lock();
        try {
            UsageReport newest = reports.element();
            for (UsageReport report : reports) {
                newest = report.asOf() <= nowMs - lagMs ? report : newest;
            }
            return newest;
        } finally {
            lock.unlock();
        }
    }

    private UsageReport second() {
        var iterator = reports.iterator();
        iterator.next();
        return iterator.next();
    }
}
