package org.chestnutbarrow.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.chestnutbarrow.model.Attempt;
import org.chestnutbarrow.model.Resources;
import org.chestnutbarrow.model.TaskId;
import org.chestnutbarrow.model.WorkerId;

/** Some of the accounts. Safe for use by several threads; every access is under the shard's own lock. */
final class LedgerShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<WorkerId, WorkerLedger> ledgers = new HashMap<>();

    void put(WorkerId worker, WorkerLedger account) {
        lock.lock();
        try {
            ledgers.put(worker, account);
        } finally {
            lock.unlock();
        }
    }

    void remove(WorkerId worker, long epoch) {
        lock.lock();
        try {
            WorkerLedger account = ledgers.get(worker);
            if (account != null && account.epoch() == epoch) {
                ledgers.remove(worker);
            }
        } finally {
            lock.unlock();
        }
    }

    void update(WorkerId worker, Consumer<WorkerLedger> change) {
        lock.lock();
        try {
            WorkerLedger account = ledgers.get(worker);
            if (account != null) {
                change.accept(account);
            }
        } finally {
            lock.unlock();
        }
    }

    void update(WorkerId worker, long epoch, Consumer<WorkerLedger> change) {
        update(worker, account -> {
            if (account.epoch() == epoch) {
                change.accept(account);
            }
        });
    }

    Optional<Reservation> reserve(WorkerId worker, long id, Resources amount, long now) {
        lock.lock();
        try {
            WorkerLedger account = ledgers.get(worker);
            if (account == null || !account.reserve(id, amount, now)) {
                return Optional.empty();
            }
            return Optional.of(new Reservation(id, account.available(now).worker(), account.epoch(), amount));
        } finally {
            lock.unlock();
        }
    }

    Optional<Long> chargeTask(WorkerId worker, TaskId task, Attempt attempt, Resources demand, long now) {
        lock.lock();
        try {
            WorkerLedger account = ledgers.get(worker);
            if (account == null || !account.chargeTask(task, attempt, demand, now)) {
                return Optional.empty();
            }
            return Optional.of(account.epoch());
        } finally {
            lock.unlock();
        }
    }

    boolean isLeaseValid(WorkerId worker, long epoch, long now) {
        lock.lock();
        try {
            WorkerLedger account = ledgers.get(worker);
            return account != null && account.epoch() == epoch && account.isLeaseValid(now);
        } finally {
            lock.unlock();
        }
    }

    Optional<AvailableCapacity> available(WorkerId worker, long now) {
        lock.lock();
        try {
            WorkerLedger account = ledgers.get(worker);
            return account != null && account.isLeaseValid(now)
                    ? Optional.of(account.available(now))
                    : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    void addAvailable(long now, List<AvailableCapacity> into) {
        lock.lock();
        try {
            for (WorkerLedger account : ledgers.values()) {
                if (account.isLeaseValid(now)) {
                    into.add(account.available(now));
                }
            }
        } finally {
            lock.unlock();
        }
    }
}
