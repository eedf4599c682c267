package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.chestnutbarrow.capacity.AvailableCapacity;
import org.chestnutbarrow.capacity.CapacityLedger;
import org.chestnutbarrow.catalog.Catalog;
import org.chestnutbarrow.catalog.ShardClaim;
import org.chestnutbarrow.logging.Events;
import org.chestnutbarrow.logging.PeriodicTask;
import org.chestnutbarrow.membership.ReachabilityTracker;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.WorkerId;

/**
 * Ends attempts on held workers when the owner of their shard can no longer be reached. Safe for use by several
 * threads.
 *
 * <p>Renewing the lease of a worker renews the leases of all its attempts. An owner that cannot be reached may consider
 * these leases expired and start new attempts elsewhere, so they must not be renewed indefinitely; {@link
 * ReachabilityTracker#mayRenew} sets the limit.
 */
final class OwnerMonitor implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final CapacityLedger ledger;
    private final WorkerTasks tasks;
    private final Catalog catalog;
    private final ReachabilityTracker reachability;
    private final TimeSource time;
    private final Map<WorkerId, Long> acquiredAt = new ConcurrentHashMap<>();
    private volatile PeriodicTask timer;

    OwnerMonitor(
            CapacityLedger ledger,
            WorkerTasks tasks,
            Catalog catalog,
            ReachabilityTracker reachability,
            TimeSource time) {
        this.ledger = ledger;
        this.tasks = tasks;
        this.catalog = catalog;
        this.reachability = reachability;
        this.time = time;
    }

    void start() {
        timer = new PeriodicTask("owner-watch", INTERVAL, this::tick);
    }

    /** Records the time at which the lease of a worker was acquired. */
    void workerAcquired(WorkerId worker) {
        acquiredAt.put(worker, time.nanos());
    }

    /** Removes a worker whose lease is no longer held. */
    void workerRemoved(WorkerId worker) {
        acquiredAt.remove(worker);
    }

    /** Evicts the attempts that must not be renewed any more. */
    void tick() {
        for (AvailableCapacity capacity : ledger.available()) {
            WorkerId worker = capacity.worker().id();
            for (TaskStatus status : tasks.running(worker)) {
                Optional<ShardClaim> claim = catalog.shardClaim(status.shard());
                if (claim.isPresent() && !mayRenew(worker, claim.get())) {
                    Events.warn(
                            "attempt-ended",
                            "worker",
                            worker,
                            "task",
                            status.task(),
                            "attempt",
                            status.attempt(),
                            "reason",
                            "owner-lost",
                            "owner",
                            claim.get().daemon());
                    tasks.evict(worker, status.task(), status.attempt());
                }
            }
        }
    }

    private boolean mayRenew(WorkerId worker, ShardClaim claim) {
        long acquired = acquiredAt.getOrDefault(worker, time.nanos());
        return reachability.mayRenew(claim.daemon(), acquired, catalog.position());
    }

    @Override
    public void close() {
        if (timer != null) {
            timer.close();
        }
    }
}
