package org.chestnutbarrow.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Hashing;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.TimeSource;
import org.chestnutbarrow.model.Worker;
import org.chestnutbarrow.model.WorkerId;

/**
 * Records the capacity in use on all workers whose lease this daemon holds. Thread-safe: the ledgers of the workers are
 * sharded by the hash of the worker id, and each shard has its own lock.
 *
 * <p>Invariants: nothing is charged to a worker without a valid lease, and never more than the capacity of the worker.
 * Requests that the previous holder may still have running are charged until they must have ended.
 *
 * <pre>{@code
 * Optional<Reservation> reservation = ledger.reserve(worker, Resources.ONE_REQUEST);
 * try { ... } finally { reservation.ifPresent(ledger::release); }
 * }</pre>
 */
public final class CapacityLedger {
    private static final int SHARDS = 16;

    private final TimeSource time;
    private final LedgerShard[] shards = new LedgerShard[SHARDS];
    private final AtomicLong lastReservationId = new AtomicLong();
    private final AtomicLong version = new AtomicLong();

    /** Creates a ledger without workers. */
    public CapacityLedger(TimeSource time) {
        this.time = time;
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new LedgerShard();
        }
    }

    /**
     * Opens the ledger of a worker whose lease was just acquired, replacing a ledger under an older epoch.
     *
     * @param validUntil monotonic time in nanoseconds until which the lease is guaranteed to be valid
     * @param tasks attempts that the worker reported when it granted the lease
     * @param requests number of running requests that the worker reported when it granted the lease
     * @param maxRequestTime maximum duration of such a request
     */
    public void open(
            Worker worker,
            long epoch,
            long validUntil,
            Collection<TaskStatus> tasks,
            int requests,
            Duration maxRequestTime) {
        WorkerLedger ledger = new WorkerLedger(worker, epoch, validUntil, tasks, Resources.ONE_REQUEST.times(requests));
        ledger.inheritedUntil(time.nanos() + maxRequestTime.toNanos());
        shard(worker.id()).put(worker.id(), ledger);
        version.incrementAndGet();
    }

    /** Extends the lease of a worker. Has no effect if its ledger is closed or under another epoch. */
    public void renew(WorkerId worker, long epoch, long validUntil) {
        shard(worker).update(worker, epoch, ledger -> ledger.validUntil(validUntil));
    }

    /** Replaces the description of a worker from the host list. Has no effect if its ledger is closed. */
    public void updateWorker(Worker worker) {
        shard(worker.id()).update(worker.id(), ledger -> ledger.updateWorker(worker));
        version.incrementAndGet();
    }

    /** Stops or resumes new charges to a worker; existing charges remain. */
    public void setPaused(WorkerId worker, boolean paused) {
        shard(worker).update(worker, ledger -> ledger.setPaused(paused));
        version.incrementAndGet();
    }

    /** Releases the charge for requests of the previous holder, after the worker reported that they have ended. */
    public void clearInherited(WorkerId worker, long epoch) {
        shard(worker).update(worker, epoch, WorkerLedger::clearInherited);
    }

    /** Closes the ledger of a worker whose lease was lost or released. */
    public void close(WorkerId worker, long epoch) {
        shard(worker).remove(worker, epoch);
        version.incrementAndGet();
    }

    /** Reserves capacity for a request. Returns empty if there is no valid lease or not enough free capacity. */
    public Optional<Reservation> reserve(WorkerId worker, Resources amount) {
        long id = lastReservationId.incrementAndGet();
        return shard(worker).reserve(worker, id, amount, time.nanos());
    }

    /** Releases the capacity reserved for a request. Has no effect if the lease of the worker has changed since. */
    public void release(Reservation reservation) {
        shard(reservation.worker().id())
                .update(reservation.worker().id(), reservation.epoch(), ledger -> ledger.release(reservation));
    }

    /**
     * Charges an attempt to a worker. Charging the same attempt again has no effect.
     *
     * @return epoch of the lease under which the attempt is charged; empty if there is no valid lease, not enough free
     *     capacity, or another attempt of the task is charged
     */
    public Optional<Long> chargeTask(WorkerId worker, TaskId task, Attempt attempt, Resources demand) {
        return shard(worker).chargeTask(worker, task, attempt, demand, time.nanos());
    }

    /** Releases the charge for an attempt, after the worker reported that it has ended. */
    public void releaseTask(WorkerId worker, TaskId task, Attempt attempt) {
        shard(worker).update(worker, ledger -> ledger.releaseTask(task, attempt));
    }

    /** Returns whether the lease with this epoch is guaranteed to be valid now. */
    public boolean holdsLease(WorkerId worker, long epoch) {
        return shard(worker).isLeaseValid(worker, epoch, time.nanos());
    }

    /** Returns the available capacity of a worker; empty if its lease is not guaranteed to be valid. */
    public Optional<AvailableCapacity> availableOn(WorkerId worker) {
        return shard(worker).available(worker, time.nanos());
    }

    /** Returns the available capacity of each worker whose lease is guaranteed to be valid. */
    public List<AvailableCapacity> available() {
        long now = time.nanos();
        List<AvailableCapacity> available = new ArrayList<>();
        for (LedgerShard shard : shards) {
            shard.addAvailable(now, available);
        }
        return available;
    }

    /**
     * Returns a number that increases whenever a ledger is opened, closed, paused, resumed or updated, so that callers
     * can keep an index of the available capacity up to date.
     */
    public long version() {
        return version.get();
    }

    private LedgerShard shard(WorkerId worker) {
        return shards[Math.floorMod(Hashing.hash(worker.value()), SHARDS)];
    }
}
