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
 * Ends attempts on held workers whose owner has lost contact. Safe for use by several threads.
 *
 * <p>Renewing the lease over a worker renews all its attempts. An owner that cannot be reached may count them as lapsed
 * and start new ones elsewhere, so they must not be renewed for ever; {@link ReachabilityTracker#mayRenew} says how long.
 */
final class OwnerWatch implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(500);

    private final CapacityLedger accounts;
    private final WorkerTasks tasks;
    private final Catalog catalog;
    private final ReachabilityTracker contacts;
    private final TimeSource time;
    private final Map<WorkerId, Long> takenAt = new ConcurrentHashMap<>();
    private volatile PeriodicTask timer;

    OwnerWatch(
            CapacityLedger accounts,
            WorkerTasks tasks,
            Catalog catalog,
            ReachabilityTracker contacts,
            TimeSource time) {
        this.accounts = accounts;
        this.tasks = tasks;
        this.catalog = catalog;
        this.contacts = contacts;
        this.time = time;
    }

    void start() {
        timer = new PeriodicTask("owner-watch", INTERVAL, this::tick);
    }

    /** Notes when a worker was taken. */
    void taken(WorkerId worker) {
        takenAt.put(worker, time.nanos());
    }

    /** Forgets a worker that is no longer held. */
    void gone(WorkerId worker) {
        takenAt.remove(worker);
    }

    /** Ends what must not be renewed any more. */
    void tick() {
        for (AvailableCapacity room : accounts.available()) {
            WorkerId worker = room.worker().id();
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
        long taken = takenAt.getOrDefault(worker, time.nanos());
        return contacts.mayRenew(claim.daemon(), taken, catalog.position());
    }

    @Override
    public void close() {
        if (timer != null) {
            timer.close();
        }
    }
}
