package org.chestnutbarrow.interference;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Decides, based on delayed reports, which batch tasks to throttle or evict on a worker with degraded request latency.
 * Thread-safe: workers are sharded by the hash of their id, and each shard has its own lock.
 *
 * <p>Invariants: each report leads to at most one mitigation; after a mitigation on a worker, the next one on it is
 * based on a report that was measured later; no task is evicted before all batch tasks of the worker are throttled;
 * always-on tasks are never throttled or evicted.
 *
 * <pre>{@code
 * controller.onReport(report).ifPresent(this::carryOut);
 * }</pre>
 */
public final class InterferenceController {
    private static final int SHARDS = 16;

    private final TimeSource time;
    private final SensitivityModel sensitivity = new SensitivityModel();
    private final Shard[] shards = new Shard[SHARDS];

    /** Creates a controller without data about any worker. */
    public InterferenceController(TimeSource time) {
        this.time = time;
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new Shard();
        }
    }

    /** Updates the sensitivity model from a report and returns the mitigation to carry out on the worker, if any. */
    public Optional<Mitigation> onReport(WorkerUsageReport report) {
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

    /** Returns whether the worker should receive no new batch tasks, because its latency was degraded recently. */
    public boolean isClosedToBatch(WorkerId worker) {
        Shard shard = shard(worker);
        shard.lock.lock();
        try {
            WorkerController controller = shard.controllers.get(worker);
            return controller != null && controller.isClosedToBatch(time.now());
        } finally {
            shard.lock.unlock();
        }
    }

    /** Removes a worker whose lease this daemon no longer holds. */
    public void removeWorker(WorkerId worker) {
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

    /** The controllers of one shard of the workers; guarded by the lock. */
    private static final class Shard {
        private final ReentrantLock lock = new ReentrantLock();
        private final Map<WorkerId, WorkerController> controllers = new HashMap<>();
    }
}
