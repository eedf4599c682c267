package org.chestnutbarrow.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;

/** What was heard from one daemon. Safe for use by several threads; every access is under its own lock. */
final class Peer {
    private static final int REMEMBERED_INCARNATIONS = 8;

    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Long> earlier = new ArrayDeque<>();
    private PeerReport last;
    private long heardAt;

    /** Takes a heartbeat, unless it comes late from an incarnation that has been replaced. */
    PeerChange heard(PeerReport report, long now) {
        lock.lock();
        try {
            if (earlier.contains(report.incarnation())) {
                return new PeerChange.Ignored(report.daemon(), report.incarnation());
            }
            PeerChange change = compare(report, now);
            if (last != null && last.incarnation() != report.incarnation()) {
                earlier.addLast(last.incarnation());
                if (earlier.size() > REMEMBERED_INCARNATIONS) {
                    earlier.removeFirst();
                }
            }
            last = report;
            heardAt = now;
            return change;
        } finally {
            lock.unlock();
        }
    }

    /** The last report if it was received less than {@code within} nanoseconds ago. */
    Optional<PeerReport> recent(long now, long within) {
        lock.lock();
        try {
            return last != null && now - heardAt < within ? Optional.of(last) : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    private PeerChange compare(PeerReport report, long now) {
        if (last != null && last.incarnation() != report.incarnation()) {
            return new PeerChange.Restarted(report.daemon(), report.incarnation());
        }
        if (report.leaving() && (last == null || !last.leaving())) {
            return new PeerChange.Leaving(report.daemon());
        }
        if (last == null || now - heardAt >= Peers.SUSPECTED_AFTER.toNanos()) {
            return new PeerChange.Joined(report.daemon(), report.incarnation());
        }
        return new PeerChange.Unchanged();
    }
}
