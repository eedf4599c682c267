package org.chestnutbarrow.interference;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Decides from late reports which batch tasks to throttle or evict on a worker whose interactive requests are
 * disturbed. Safe for use by several threads: workers lie in shards by hash of their id, each under its own lock.
 *
 * <p>Invariants: at most one action a report; after an action on a worker nothing is done there before a report that
 * was measured after it; tasks are throttled before any is evicted, and always-on tasks are left alone.
 *
 * <pre>{@code
 * interference.report(report).ifPresent(this::carryOut);
 * }</pre>
 */
public final class InterferenceController {
    private static final int SHARDS = 16;

    private final TimeSource time;
    private final SensitivityModel sensitivity = new SensitivityModel();
    private final Shard[] shards = new Shard[SHARDS];

    /** Starts without knowledge. */
    public InterferenceController(TimeSource time) {
        this.time = time;
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new Shard();
        }
    }

    /** Learns from a report and decides what to do on its worker. */
    public Optional<Mitigation> onReport(WorkerReport report) {
        if (!report.latencyP99().isZero()) {
            sensitivity.learn(report);
        }
        Shard shard = shard(report.worker());
        shard.lock.lock();
        try {
            return shard.controllers
                    .computeIfAbsent(report.worker(), _ -> new WorkerController())
                    .decide(report, sensitivity, time.now());
        } finally {
            shard.lock.unlock();
        }
    }

    /** Whether new batch tasks should stay away from the worker because it was disturbed lately. */
    public boolean isClosedToBatch(WorkerId worker) {
        Shard shard = shard(worker);
        shard.lock.lock();
        try {
            WorkerController state = shard.controllers.get(worker);
            return state != null && state.isClosedToBatch(time.now());
        } finally {
            shard.lock.unlock();
        }
    }

    /** Forgets a worker that this daemon no longer holds. */
    public void forget(WorkerId worker) {
        Shard shard = shard(worker);
        shard.lock.lock();
        try {
            shard.controllers.remove(worker);
        } finally {
            shard.lock.unlock();
        }
    }

    private Shard shard(WorkerId worker) {
        return shards[Math.floorMod(Hashing.hash(worker.value()), SHARDS)];
    }

    /** Some of the workers. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<WorkerId, WorkerController> controllers = new HashMap<>();
    }
}
