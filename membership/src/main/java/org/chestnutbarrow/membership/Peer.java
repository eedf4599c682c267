package org.chestnutbarrow.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/** The last heartbeat from one daemon. Thread-safe; all state is guarded by one lock. */
final class Peer {
    private static final int MAX_EARLIER_INCARNATIONS = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Long> earlierIncarnations = new ArrayDeque<>();
    private PeerReport lastReport;
    private long receivedAt;

    /** Records a heartbeat and returns what it changed; a late heartbeat from an earlier incarnation is ignored. */
    PeerChange onHeartbeat(PeerReport report, long now) {
        lock.lock();
        try {
            if (earlierIncarnations.contains(report.incarnation())) {
                return new PeerChange.Ignored(report.daemon(), report.incarnation());
            }
            PeerChange change = classify(report, now);
            if (lastReport != null && lastReport.incarnation() != report.incarnation()) {
                earlierIncarnations.addLast(lastReport.incarnation());
                if (earlierIncarnations.size() > MAX_EARLIER_INCARNATIONS) {
                    earlierIncarnations.removeFirst();
                }
            }
            lastReport = report;
            receivedAt = now;
            return change;
        } finally {
            lock.unlock();
        }
    }

    /** Returns the last report if it was received less than {@code maxAgeNanos} nanoseconds ago. */
    Optional<PeerReport> recentReport(long now, long maxAgeNanos) {
        lock.lock();
        try {
            return lastReport != null && now - receivedAt < maxAgeNanos ? Optional.of(lastReport) : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    private PeerChange classify(PeerReport report, long now) {
        if (lastReport != null && lastReport.incarnation() != report.incarnation()) {
            return new PeerChange.Restarted(report.daemon(), report.incarnation());
        }
        if (report.leaving() && (lastReport == null || !lastReport.leaving())) {
            return new PeerChange.Leaving(report.daemon());
        }
        if (lastReport == null || now - receivedAt >= PeerRegistry.SUSPECT_TIMEOUT.toNanos()) {
            return new PeerChange.Joined(report.daemon(), report.incarnation());
        }
        return new PeerChange.Unchanged();
    }
}
