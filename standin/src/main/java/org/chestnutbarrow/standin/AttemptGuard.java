package org.chestnutbarrow.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chestnutbarrow.model.Attempt;

/**
 * Rejects stale task attempts. Tracks the fence of each shard and the latest attempt of each task that the worker no
 * longer holds. Guarded by the lock of {@link WorkerState}.
 *
 * <p>Invariant: the fence of a shard and the latest attempt of a task never decrease.
 */
final class AttemptGuard {
    /** Large enough to cover every attempt with commands still in flight. */
    private static final int MAX_TRACKED_ATTEMPTS = 65_536;

    private final Map<Integer, Long> fences = new TreeMap<>();
    private final Map<String, Attempt> latestAttempts = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Attempt> eldest) {
            return size() > MAX_TRACKED_ATTEMPTS;
        }
    };

    void recordAttempt(String task, Attempt attempt) {
        latestAttempts.merge(task, attempt, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }

    boolean permits(Command.Start start) {
        Attempt latest = latestAttempts.get(start.task());
        return start.attempt().epoch() >= fences.getOrDefault(start.shard(), 0L)
                && (latest == null || start.attempt().compareTo(latest) > 0);
    }

    /** Raises the fence of a shard; returns false if it is already higher. */
    boolean raiseFence(int shard, long epoch) {
        return fences.merge(shard, epoch, Math::max) == epoch;
    }
}
