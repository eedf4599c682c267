package org.chestnutbarrow.daemon;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Hashing;

/**
 * The last decisions on requests, for {@code explain}. Safe for use by several threads: entries lie in shards by request
 * id, each under its own lock. Invariant: keeps at most {@link #SHARDS} times {@link #PER_SHARD} entries.
 */
final class RecentDecisions {
    private static final int SHARDS = 16;
    private static final int PER_SHARD = 256;

    private final Shard[] shards = new Shard[SHARDS];

    RecentDecisions() {
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new Shard();
        }
    }

    /** Remembers a line about a request. */
    void add(String request, String line) {
        shard(request).add(request, line);
    }

    /** The last line about a request. */
    Optional<String> get(String request) {
        return shard(request).get(request);
    }

    private Shard shard(String request) {
        return shards[Math.floorMod(Hashing.hash(request), SHARDS)];
    }

    /** Some of the entries, oldest first. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<String, String> lines = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
                return size() > PER_SHARD;
            }
        };

        void add(String request, String line) {
            lock.lock();
            try {
                lines.put(request, line);
            } finally {
                lock.unlock();
            }
        }

        Optional<String> get(String request) {
            lock.lock();
            try {
                return Optional.ofNullable(lines.get(request));
            } finally {
                lock.unlock();
            }
        }
    }
}
