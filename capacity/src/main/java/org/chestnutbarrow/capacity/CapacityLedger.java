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
 * The accounts of all workers that this daemon holds the lease of. Safe for use by several threads: accounts lie in
 * shards by hash of the worker id, each under its own lock.
 *
 * <p>Invariants: nothing is charged to a worker without a valid lease over it, and never more than its capacity. Use of
 * which nothing is known, because the previous holder may have caused it, is charged until it must have ended.
 *
 * <pre>{@code
 * Optional<Hold> hold = accounts.hold(worker, Resources.ONE_REQUEST);
 * try { ... } finally { hold.ifPresent(accounts::release); }
 * }</pre>
 */
public final class CapacityLedger {
    private static final int SHARDS = 16;

    private final TimeSource time;
    private final LedgerShard[] shards = new LedgerShard[SHARDS];
    private final AtomicLong lastReservationId = new AtomicLong();
    private final AtomicLong version = new AtomicLong();

    /** Creates accounts for no workers. */
    public CapacityLedger(TimeSource time) {
        this.time = time;
        for (int i = 0; i < SHARDS; i++) {
            shards[i] = new LedgerShard();
        }
    }

    /**
     * Opens the account of a worker whose lease was just taken; replaces an account under an older epoch.
     *
     * @param validUntil monotonic nanoseconds until which the lease certainly holds
     * @param tasks attempts that the worker reported with the grant
     * @param requests requests that the worker reported as running with the grant
     * @param requestTime longest time that such a request may take
     */
    public void open(
            Worker worker,
            long epoch,
            long validUntil,
            Collection<TaskStatus> tasks,
            int requests,
            Duration requestTime) {
        WorkerLedger account =
                new WorkerLedger(worker, epoch, validUntil, tasks, Resources.ONE_REQUEST.times(requests));
        account.inheritedUntil(time.nanos() + requestTime.toNanos());
        shard(worker.id()).put(worker.id(), account);
        version.incrementAndGet();
    }

    /** Extends the lease of the account; ignored if it is closed or under another epoch. */
    public void renew(WorkerId worker, long epoch, long validUntil) {
        shard(worker).update(worker, epoch, account -> account.validUntil(validUntil));
    }

    /** Takes over what the host list says of a worker; ignored if its account is closed. */
    public void updateWorker(Worker worker) {
        shard(worker.id()).update(worker.id(), account -> account.updateWorker(worker));
        version.incrementAndGet();
    }

    /** Stops or resumes new charges to a worker; what is charged stays. */
    public void setPaused(WorkerId worker, boolean paused) {
        shard(worker).update(worker, account -> account.setPaused(paused));
        version.incrementAndGet();
    }

    /** Frees the use that the previous holder may have caused, because the worker reported that it has ended. */
    public void clearInherited(WorkerId worker, long epoch) {
        shard(worker).update(worker, epoch, WorkerLedger::clearInherited);
    }

    /** Closes the account of a worker whose lease was lost or released. */
    public void close(WorkerId worker, long epoch) {
        shard(worker).remove(worker, epoch);
        version.incrementAndGet();
    }

    /** Reserves capacity for a request; empty if there is no valid lease or no room. */
    public Optional<Reservation> reserve(WorkerId worker, Resources amount) {
        long id = lastReservationId.incrementAndGet();
        return shard(worker).reserve(worker, id, amount, time.nanos());
    }

    /** Gives back what a request held. Has no effect if the worker's lease has changed since. */
    public void release(Reservation hold) {
        shard(hold.worker().id()).update(hold.worker().id(), hold.epoch(), account -> account.release(hold));
    }

    /**
     * Charges an attempt to a worker. Charging the same attempt again has no effect.
     *
     * @return the epoch of the lease under which it is charged; empty if there is no valid lease, no room, or another
     *     attempt of the task is charged
     */
    public Optional<Long> chargeTask(WorkerId worker, TaskId task, Attempt attempt, Resources demand) {
        return shard(worker).chargeTask(worker, task, attempt, demand, time.nanos());
    }

    /** Frees what an attempt was charged, once the worker has said that it ended. */
    public void releaseTask(WorkerId worker, TaskId task, Attempt attempt) {
        shard(worker).update(worker, account -> account.releaseTask(task, attempt));
    }

    /** Whether the lease under that epoch is certainly still held at this moment. */
    public boolean holdsLease(WorkerId worker, long epoch) {
        return shard(worker).isLeaseValid(worker, epoch, time.nanos());
    }

    /** What is free on a worker; empty if its lease is not certainly held. */
    public Optional<AvailableCapacity> availableOn(WorkerId worker) {
        return shard(worker).available(worker, time.nanos());
    }

    /** What is free on each worker whose lease is certainly held. */
    public List<AvailableCapacity> available() {
        long now = time.nanos();
        List<AvailableCapacity> rooms = new ArrayList<>();
        for (LedgerShard shard : shards) {
            shard.addAvailable(now, rooms);
        }
        return rooms;
    }

    /** Changes whenever an account is opened, closed, paused or updated; for callers that keep an index. */
    public long version() {
        return version.get();
    }

    private LedgerShard shard(WorkerId worker) {
        return shards[Math.floorMod(Hashing.hash(worker.value()), SHARDS)];
    }
}
