package org.chestnutbarrow.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.locks.ReentrantLock;

/** Usage reports of one worker, of which readers get a past one. Safe for use by several threads. */
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
            // The first report stays as long as the second one is not yet old enough to be shown.
            while (reports.size() > 1 && second().asOf() <= report.asOf() - lagMs) {
                reports.remove();
            }
        } finally {
            lock.unlock();
        }
    }

    /** The newest report that is at least the lag old, or the first one if none is. */
    UsageReport at(long nowMs) {
        lock.lock();
        try {
            UsageReport result = reports.element();
            for (UsageReport report : reports) {
                result = report.asOf() <= nowMs - lagMs ? report : result;
            }
            return result;
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
