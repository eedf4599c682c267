package org.chestnutbarrow.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.chestnutbarrow.model.DaemonId;

/**
 * Up to where each daemon has confirmed the log, and when a majority had. Not safe for use by several threads; guarded
 * by the lock of {@link FreshnessGate}.
 *
 * <p>Times are those of receipt, which are later than those of application, so the wait starts late and never early. A
 * daemon that restarts keeps its confirmation: its new process is not fresh before it knows the log of a moment after
 * its start, and that log holds everything that the old process had confirmed.
 */
final class Confirmations {
    private final Map<DaemonId, Long> positions = new HashMap<>();
    private final TreeMap<Long, Long> majorityAt = new TreeMap<>();
    private final long wait;

    /** Starts with nothing confirmed; {@code wait} is in nanoseconds. */
    Confirmations(Collection<DaemonId> configured, long wait) {
        this.wait = wait;
        configured.forEach(daemon -> positions.put(daemon, -1L));
    }

    void confirm(DaemonId daemon, long position, long now) {
        Long known = positions.get(daemon);
        if (known == null || known >= position) {
            return;
        }
        positions.put(daemon, position);
        long majority = majorityPosition();
        if (majority >= 0 && (majorityAt.isEmpty() || majorityAt.lastKey() < majority)) {
            majorityAt.put(majority, now);
        }
        prune(now);
    }

    Confirmation confirmed(long position, long now) {
        Set<DaemonId> missing = new HashSet<>();
        positions.forEach((daemon, known) -> {
            if (known < position) {
                missing.add(daemon);
            }
        });
        Map.Entry<Long, Long> majority = majorityAt.ceilingEntry(position);
        boolean waited = majority != null && now - majority.getValue() >= wait;
        return missing.isEmpty() || waited ? new Confirmation.InForce() : new Confirmation.NotYet(missing);
    }

    private long majorityPosition() {
        long[] sorted =
                positions.values().stream().mapToLong(Long::longValue).sorted().toArray();
        return sorted[sorted.length - (sorted.length / 2 + 1)];
    }

    /** Drops entries below one whose wait is over: a lookup finds that one and gives the same answer. */
    private void prune(long now) {
        while (majorityAt.size() > 1) {
            Map.Entry<Long, Long> second = majorityAt.higherEntry(majorityAt.firstKey());
            if (now - second.getValue() < wait) {
                return;
            }
            majorityAt.pollFirstEntry();
        }
    }
}
