package org.chestnutbarrow.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/** The scores of one class's workers, in shards by worker id, each under its own lock. Safe for use by several threads. */
final class Scores {
    private static final int SHARDS = 16;

    private final Shard[] shards = new Shard[SHARDS];

    Scores() {
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new Shard();
        }
    }

    /** Applies a function to the worker's score, which is created at the first call. */
    <T> T with(Worker worker, long now, Function<WorkerScore, T> function) {
        Shard shard = shards[Math.floorMod(Hashing.hash(worker.id().value()), SHARDS)];
        shard.lock.lock();
        try {
            WorkerScore score = shard.scores.computeIfAbsent(
                    worker.id(), _ -> new WorkerScore(worker.capacity().slots(), now));
            return function.apply(score);
        } finally {
            shard.lock.unlock();
        }
    }

    /** Forgets a worker that left or whose zone was taken out, so that it starts slowly when it returns. */
    void forget(WorkerId worker) {
        Shard shard = shards[Math.floorMod(Hashing.hash(worker.value()), SHARDS)];
        shard.lock.lock();
        try {
            shard.scores.remove(worker);
        } finally {
            shard.lock.unlock();
        }
    }

    /** Scores of some workers under one lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<WorkerId, WorkerScore> scores = new HashMap<>();
    }
}
