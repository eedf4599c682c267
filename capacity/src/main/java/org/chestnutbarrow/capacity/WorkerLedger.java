package org.chestnutbarrow.capacity;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.TaskStatus;
import org.chestnutbarrow.model.Worker;

/**
 * Records the capacity in use on one worker under one lease. Not thread-safe; guarded by the lock of its shard.
 *
 * <p>Invariant: the sum of all charges never exceeds the capacity, except for charges that the worker itself reported
 * when it granted the lease.
 */
final class WorkerLedger {
    private final long epoch;
    private final Set<Long> reservations = new HashSet<>();
    private final Map<TaskId, TaskCharge> taskCharges = new HashMap<>();
    private Worker worker;
    private Resources charged = Resources.NONE;
    private Resources inherited;
    private long inheritedUntil;
    private long validUntil;
    private boolean paused;

    /**
     * Creates a ledger with the charges that the worker reported when it granted the lease.
     *
     * @param running attempts on the worker; those that have ended are not charged
     * @param inherited capacity used by requests of the previous holder
     */
    WorkerLedger(Worker worker, long epoch, long validUntil, Collection<TaskStatus> running, Resources inherited) {
        this.worker = worker;
        this.epoch = epoch;
        this.validUntil = validUntil;
        this.inherited = inherited;
        for (TaskStatus status : running) {
            if (!status.state().ended()) {
                charge(status.task(), status.attempt(), status.demand());
            }
        }
    }

    long epoch() {
        return epoch;
    }

    boolean isLeaseValid(long now) {
        return validUntil - now > 0;
    }

    void validUntil(long nanos) {
        validUntil = nanos;
    }

    void inheritedUntil(long nanos) {
        inheritedUntil = nanos;
    }

    void clearInherited() {
        inherited = Resources.NONE;
    }

    void updateWorker(Worker updated) {
        worker = updated;
    }

    void setPaused(boolean value) {
        paused = value;
    }

    AvailableCapacity available(long now) {
        Resources free = acceptsWork(now) ? freeCapacity(now) : Resources.NONE;
        return new AvailableCapacity(worker, epoch, free, reservations.size());
    }

    /** Returns whether new work may be charged now. */
    boolean acceptsWork(long now) {
        return isLeaseValid(now) && !paused && !worker.leaving();
    }

    boolean reserve(long id, Resources amount, long now) {
        if (!acceptsWork(now) || !amount.fitsIn(freeCapacity(now))) {
            return false;
        }
        reservations.add(id);
        charged = charged.plus(amount);
        return true;
    }

    void release(Reservation reservation) {
        if (reservations.remove(reservation.id())) {
            charged = charged.minus(reservation.amount());
        }
    }

    /** Charges an attempt; charging the same attempt again has no effect. */
    boolean chargeTask(TaskId task, Attempt attempt, Resources demand, long now) {
        TaskCharge existing = taskCharges.get(task);
        if (existing != null) {
            return existing.attempt().equals(attempt);
        }
        if (!acceptsWork(now) || !demand.fitsIn(freeCapacity(now))) {
            return false;
        }
        charge(task, attempt, demand);
        return true;
    }

    void releaseTask(TaskId task, Attempt attempt) {
        TaskCharge existing = taskCharges.get(task);
        if (existing != null && existing.attempt().equals(attempt)) {
            taskCharges.remove(task);
            charged = charged.minus(existing.demand());
        }
    }

    private void charge(TaskId task, Attempt attempt, Resources demand) {
        taskCharges.put(task, new TaskCharge(attempt, demand));
        charged = charged.plus(demand);
    }

    private Resources freeCapacity(long now) {
        Resources free = worker.capacity().minus(charged);
        return inheritedUntil - now > 0 ? free.minus(inherited) : free;
    }

    /** The charge for an attempt of a task. */
    private record TaskCharge(Attempt attempt, Resources demand) {}
}
