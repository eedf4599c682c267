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
final class AccountShard {
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<WorkerId, Account> accounts = new HashMap<>();

    void put(WorkerId worker, Account account) {
        lock.lock();
        try {
            accounts.put(worker, account);
        } finally {
            lock.unlock();
        }
    }

    void remove(WorkerId worker, long epoch) {
        lock.lock();
        try {
            Account account = accounts.get(worker);
            if (account != null && account.epoch() == epoch) {
                accounts.remove(worker);
            }
        } finally {
            lock.unlock();
        }
    }

    void change(WorkerId worker, Consumer<Account> change) {
        lock.lock();
        try {
            Account account = accounts.get(worker);
            if (account != null) {
                change.accept(account);
            }
        } finally {
            lock.unlock();
        }
    }

    void change(WorkerId worker, long epoch, Consumer<Account> change) {
        change(worker, account -> {
            if (account.epoch() == epoch) {
                change.accept(account);
            }
        });
    }

    Optional<Hold> hold(WorkerId worker, long id, Resources amount, long now) {
        lock.lock();
        try {
            Account account = accounts.get(worker);
            if (account == null || !account.hold(id, amount, now)) {
                return Optional.empty();
            }
            return Optional.of(new Hold(id, account.room(now).worker(), account.epoch(), amount));
        } finally {
            lock.unlock();
        }
    }

    Optional<Long> holdTask(WorkerId worker, TaskId task, Attempt attempt, Resources demand, long now) {
        lock.lock();
        try {
            Account account = accounts.get(worker);
            if (account == null || !account.holdTask(task, attempt, demand, now)) {
                return Optional.empty();
            }
            return Optional.of(account.epoch());
        } finally {
            lock.unlock();
        }
    }

    boolean valid(WorkerId worker, long epoch, long now) {
        lock.lock();
        try {
            Account account = accounts.get(worker);
            return account != null && account.epoch() == epoch && account.valid(now);
        } finally {
            lock.unlock();
        }
    }

    Optional<Room> room(WorkerId worker, long now) {
        lock.lock();
        try {
            Account account = accounts.get(worker);
            return account != null && account.valid(now) ? Optional.of(account.room(now)) : Optional.empty();
        } finally {
            lock.unlock();
        }
    }

    void rooms(long now, List<Room> into) {
        lock.lock();
        try {
            for (Account account : accounts.values()) {
                if (account.valid(now)) {
                    into.add(account.room(now));
                }
            }
        } finally {
            lock.unlock();
        }
    }
}
