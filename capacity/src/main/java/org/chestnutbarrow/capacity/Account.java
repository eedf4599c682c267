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
final class Account {
    private final long epoch;
    private final Set<Long> holds = new HashSet<>();
    private final Map<TaskId, TaskCharge> tasks = new HashMap<>();
    private Worker worker;
    private Resources used = Resources.NONE;
    private Resources unknown;
    private long unknownUntil;
    private long validUntil;
    private boolean paused;

    /** Opens the account with what the worker said when it granted the lease. */
    Account(Worker worker, long epoch, long validUntil, Collection<TaskStatus> running, Resources unknown) {
        this.worker = worker;
        this.epoch = epoch;
        this.validUntil = validUntil;
        this.unknown = unknown;
        for (TaskStatus status : running) {
            if (!status.state().ended()) {
                charge(status.task(), status.attempt(), status.demand());
            }
        }
    }

    long epoch() {
        return epoch;
    }

    boolean valid(long now) {
        return validUntil - now > 0;
    }

    void validUntil(long nanos) {
        validUntil = nanos;
    }

    void unknownUntil(long nanos) {
        unknownUntil = nanos;
    }

    void clearUnknown() {
        unknown = Resources.NONE;
    }

    void update(Worker newer) {
        worker = newer;
    }

    void pause(boolean value) {
        paused = value;
    }

    Room room(long now) {
        return new Room(worker, epoch, free(now), holds.size());
    }

    /** Whether new work may be charged now. */
    boolean open(long now) {
        return valid(now) && !paused && !worker.leaving();
    }

    boolean hold(long id, Resources amount, long now) {
        if (!open(now) || !amount.fitsIn(free(now))) {
            return false;
        }
        holds.add(id);
        used = used.plus(amount);
        return true;
    }

    void release(Hold hold) {
        if (holds.remove(hold.id())) {
            used = used.minus(hold.amount());
        }
    }

    /** Charges an attempt; the same attempt is charged once. */
    boolean holdTask(TaskId task, Attempt attempt, Resources demand, long now) {
        TaskCharge known = tasks.get(task);
        if (known != null) {
            return known.attempt().equals(attempt);
        }
        if (!open(now) || !demand.fitsIn(free(now))) {
            return false;
        }
        charge(task, attempt, demand);
        return true;
    }

    void releaseTask(TaskId task, Attempt attempt) {
        TaskCharge known = tasks.get(task);
        if (known != null && known.attempt().equals(attempt)) {
            tasks.remove(task);
            used = used.minus(known.demand());
        }
    }

    private void charge(TaskId task, Attempt attempt, Resources demand) {
        tasks.put(task, new TaskCharge(attempt, demand));
        used = used.plus(demand);
    }

    private Resources free(long now) {
        Resources free = worker.capacity().minus(used);
        return unknownUntil - now > 0 ? free.minus(unknown) : free;
    }

    /** What is charged for an attempt. */
    private record TaskCharge(Attempt attempt, Resources demand) {}
}
