package org.chestnutbarrow.daemon;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Hashing;

/**
 * The latest decisions on requests, for {@code explain}. Safe for use by several threads: entries are sharded by
 * request id, and each shard has its own lock. Invariant: keeps at most {@link #SHARDS} times {@link
 * #MAX_ENTRIES_PER_SHARD} entries.
 */
final class RecentDecisions {
    private static final int SHARDS = 16;
    private static final int MAX_ENTRIES_PER_SHARD = 256;

    private final Shard[] shards = new Shard[SHARDS];

    RecentDecisions() {
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new Shard();
        }
    }

    /** Stores the log line of the decision on a request, evicting the oldest entry of a full shard. */
    void add(String requestId, String line) {
        shard(requestId).add(requestId, line);
    }

    /** Returns the latest log line about a request. */
    Optional<String> get(String requestId) {
        return shard(requestId).get(requestId);
    }

    private Shard shard(String requestId) {
        return shards[Math.floorMod(Hashing.hash(requestId), SHARDS)];
    }

    /** The entries of one shard, oldest first. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<String, String> lines = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                return size() > MAX_ENTRIES_PER_SHARD;
            }
        };

        void add(String requestId, String line) {
            lock.lock();
            try {
                lines.put(requestId, line);
            } finally {
                lock.unlock();
            }
        }

        Optional<String> get(String requestId) {
            lock.lock();
            try {
                return Optional.ofNullable(lines.get(requestId));
            } finally {
                lock.unlock();
            }
        }
    }
}
