package org.chestnutbarrow.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * The worker scores of one class, sharded by worker id, each shard under its own lock. Safe for use by several threads.
 */
final class WorkerScores {
    private static final int SHARD_COUNT = 16;

    private final ScoreShard[] shards = new ScoreShard[SHARD_COUNT];

    WorkerScores() {
        for (int i = 0; i < SHARD_COUNT; i++) {
            shards[i] = new ScoreShard();
        }
    }

    /** Applies a function to the worker's score under the shard's lock; the score is created at the first call. */
    <T> T withScore(Worker worker, long now, Function<WorkerScore, T> function) {
        ScoreShard shard = shards[Math.floorMod(Hashing.hash(worker.id().value()), SHARD_COUNT)];
        shard.lock.lock();
        try {
            WorkerScore score = shard.scores.computeIfAbsent(
                    worker.id(), _ -> new WorkerScore(worker.capacity().slots(), now));
            return function.apply(score);
        } finally {
            shard.lock.unlock();
        }
    }

    /**
     * Removes a worker that left or whose zone was taken out of service, so that it gets a slow start on its return.
     */
    void remove(WorkerId worker) {
        ScoreShard shard = shards[Math.floorMod(Hashing.hash(worker.value()), SHARD_COUNT)];
        shard.lock.lock();
        try {
            shard.scores.remove(worker);
        } finally {
            shard.lock.unlock();
        }
    }

    /** The scores of the workers of one shard. */
    private static final class ScoreShard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<WorkerId, WorkerScore> scores = new HashMap<>();
    }
}
