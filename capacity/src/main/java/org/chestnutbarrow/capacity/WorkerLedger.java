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
 * What is in use on one worker under one lease. Not safe for use by several threads; guarded by its shard's lock.
 *
 * <p>Invariant: the sum of all charges never exceeds the capacity, except for charges that the worker itself reported
 * when the lease was taken.
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

    /** Opens the account with what the worker said when it granted the lease. */
    WorkerLedger(Worker worker, long epoch, long validUntil, Collection<TaskStatus> running, Resources unknown) {
        this.worker = worker;
        this.epoch = epoch;
        this.validUntil = validUntil;
        this.inherited = unknown;
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

    void updateWorker(Worker newer) {
        worker = newer;
    }

    void setPaused(boolean value) {
        paused = value;
    }

    AvailableCapacity available(long now) {
        return new AvailableCapacity(worker, epoch, freeCapacity(now), reservations.size());
    }

    /** Whether new work may be charged now. */
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

    void release(Reservation hold) {
        if (reservations.remove(hold.id())) {
            charged = charged.minus(hold.amount());
        }
    }

    /** Charges an attempt; the same attempt is charged once. */
    boolean chargeTask(TaskId task, Attempt attempt, Resources demand, long now) {
        TaskCharge known = taskCharges.get(task);
        if (known != null) {
            return known.attempt().equals(attempt);
        }
        if (!acceptsWork(now) || !demand.fitsIn(freeCapacity(now))) {
            return false;
        }
        charge(task, attempt, demand);
        return true;
    }

    void releaseTask(TaskId task, Attempt attempt) {
        TaskCharge known = taskCharges.get(task);
        if (known != null && known.attempt().equals(attempt)) {
            taskCharges.remove(task);
            charged = charged.minus(known.demand());
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

    /** What is charged for an attempt. */
    private record TaskCharge(Attempt attempt, Resources demand) {}
}
