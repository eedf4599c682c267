package org.chestnutbarrow.standin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chestnutbarrow.model.Attempt;

/**
 * Fences of shards, and the newest attempt of each task that the worker no longer holds. Guarded by the lock of {@link
 * WorkerState}.
 *
 * <p>Invariant: neither a fence nor the newest attempt of a task goes back.
 */
final class AttemptGuard {
    /** Enough for the attempts whose commands may still be under way. */
    private static final int MAX_SEEN = 65_536;

    private final Map<Integer, Long> fences = new TreeMap<>();
    private final Map<String, Attempt> seen = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Attempt> eldest) {
            return size() > MAX_SEEN;
        }
    };

    void remember(String task, Attempt attempt) {
        seen.merge(task, attempt, (a, b) -> a.compareTo(b) >= 0 ? a : b);
    }

    boolean allows(Command.Start start) {
        Attempt newest = seen.get(start.task());
        return start.attempt().epoch() >= fences.getOrDefault(start.shard(), 0L)
                && (newest == null || start.attempt().compareTo(newest) > 0);
    }

    /** Raises the fence of a shard; false if it is higher already. */
    boolean fence(int shard, long epoch) {
        return fences.merge(shard, epoch, Math::max) == epoch;
    }
}
