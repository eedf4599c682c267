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

/** The ledgers of one shard of the workers. Thread-safe; all state is guarded by the lock of the shard. */
final class LedgerShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<WorkerId, WorkerLedger> ledgers = new HashMap<>();

    void put(WorkerId worker, WorkerLedger ledger) {
        lock.lock();
        try {
            ledgers.put(worker, ledger);
        } finally {
            lock.unlock();
        }
    }

    void remove(WorkerId worker, long epoch) {
        lock.lock();
        try {
            WorkerLedger ledger = ledgers.get(worker);
            if (ledger != null && ledger.epoch() == epoch) {
                ledgers.remove(worker);
            }
        } finally {
            lock.unlock();
        }
    }

    void update(WorkerId worker, Consumer<WorkerLedger> change) {
        lock.lock();
        try {
            WorkerLedger ledger = ledgers.get(worker);
            if (ledger != null) {
                change.accept(ledger);
            }
        } finally {
            lock.unlock();
        }
    }

    void update(WorkerId worker, long epoch, Consumer<WorkerLedger> change) {
        update(worker, ledger -> {
            if (ledger.epoch() == epoch) {
                change.accept(ledger);
            }
        });
    }

    Optional<Reservation> reserve(WorkerId worker, long id, Resources amount, long now) {
        lock.lock();
        try {
            WorkerLedger ledger = ledgers.get(worker);
            if (ledger == null || !ledger.reserve(id, amount, now)) {
                return Optional.empty();
            }
            return Optional.of(new Reservation(id, ledger.available(now).worker(), ledger.epoch(), amount));
        } finally {
            lock.unlock();
        }
    }

    Optional<Long> chargeTask(WorkerId worker, TaskId task, Attempt attempt, Resources demand, long now) {
        lock.lock();
        try {
            WorkerLedger ledger = ledgers.get(worker);
            if (ledger == null || !ledger.chargeTask(task, attempt, demand, now)) {
                return Optional.empty();
            }
            return Optional.of(ledger.epoch());
        } finally {
            lock.unlock();
        }
    }

    boolean isLeaseValid(WorkerId worker, long epoch, long now) {
        lock.lock();
        try {
            WorkerLedger ledger = ledgers.get(worker);
            return ledger != null && ledger.epoch() == epoch && ledger.isLeaseValid(now);
        } finally {
            lock.unlock();
        }
    }

    Optional<AvailableCapacity> available(WorkerId worker, long now) {
        lock.lock();
        try {
            WorkerLedger ledger = ledgers.get(worker);
            return ledger != null && ledger.isLeaseValid(now) ? Optional.of(ledger.available(now)) : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    void addAvailable(long now, List<AvailableCapacity> target) {
        lock.lock();
        try {
            for (WorkerLedger ledger : ledgers.values()) {
                if (ledger.isLeaseValid(now)) {
                    target.add(ledger.available(now));
                }
            }
        } finally {
            lock.unlock();
        }
    }
}
