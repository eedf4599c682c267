package org.chestnutbarrow.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chestnutbarrow.model.DaemonId;

/**
 * Tracks the log position that each daemon has confirmed and the time at which a majority had confirmed a position. Not
 * thread-safe; guarded by the lock of {@link FreshnessGate}.
 *
 * <p>Confirmations are timed on receipt, which is after the daemon applied the position, so the waiting period never
 * starts too early. The confirmation of a daemon survives its restart: the new process is not fresh until it has
 * applied the log as of some time after its start, and that log contains everything that the old process had confirmed.
 */
final class ConfirmationTracker {
    private final Map<DaemonId, Long> positionByDaemon = new HashMap<>();
    private final TreeMap<Long, Long> majorityConfirmedAt = new TreeMap<>();
    private final long waitNanos;

    /**
     * Creates a tracker without confirmations.
     *
     * @param waitNanos time after the confirmation by a majority at which a position is in force everywhere
     */
    ConfirmationTracker(Collection<DaemonId> configured, long waitNanos) {
        this.waitNanos = waitNanos;
        configured.forEach(daemon -> positionByDaemon.put(daemon, -1L));
    }

    void confirm(DaemonId daemon, long position, long now) {
        Long confirmed = positionByDaemon.get(daemon);
        if (confirmed == null || confirmed >= position) {
            return;
        }
        positionByDaemon.put(daemon, position);
        long majority = majorityPosition();
        if (majority >= 0 && (majorityConfirmedAt.isEmpty() || majorityConfirmedAt.lastKey() < majority)) {
            majorityConfirmedAt.put(majority, now);
        }
        prune(now);
    }

    Confirmation confirmationOf(long position, long now) {
        Set<DaemonId> missing = new HashSet<>();
        positionByDaemon.forEach((daemon, confirmed) -> {
            if (confirmed < position) {
                missing.add(daemon);
            }
        });
        Map.Entry<Long, Long> majority = majorityConfirmedAt.ceilingEntry(position);
        boolean waitElapsed = majority != null && now - majority.getValue() >= waitNanos;
        return missing.isEmpty() || waitElapsed ? new Confirmation.InForce() : new Confirmation.Pending(missing);
    }

    private long majorityPosition() {
        long[] sorted = positionByDaemon.values().stream()
                .mapToLong(Long::longValue)
                .sorted()
                .toArray();
        return sorted[sorted.length - (sorted.length / 2 + 1)];
    }

    /**
     * Removes the entries below one whose waiting period is over. A lookup of a lower position then finds that entry
     * and gives the same answer.
     */
    private void prune(long now) {
        while (majorityConfirmedAt.size() > 1) {
            Map.Entry<Long, Long> second = majorityConfirmedAt.higherEntry(majorityConfirmedAt.firstKey());
            if (now - second.getValue() < waitNanos) {
                return;
            }
            majorityConfirmedAt.pollFirstEntry();
        }
    }
}
