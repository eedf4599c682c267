package org.chestnutbarrow.catalog;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.concurrent.locks.ReentrantLock;

/** One shard of the receipts. Thread-safe; all state is guarded by the lock of the shard. */
final class ReceiptShard {
    static final Comparator<ReceiptState> BY_TIME =
            Comparator.comparing(ReceiptState::time).thenComparing(ReceiptState::requestId);

    private final ReentrantLock lock = new ReentrantLock();
    private final Map<String, ReceiptState> byId = new HashMap<>();
    private final TreeSet<ReceiptState> byTime = new TreeSet<>(BY_TIME);

    /** Adds a receipt unless there is already one with the same id; returns the existing one in that case. */
    Optional<ReceiptState> add(ReceiptState receipt) {
        lock.lock();
        try {
            ReceiptState first = byId.putIfAbsent(receipt.requestId(), receipt);
            if (first == null) {
                byTime.add(receipt);
            }
            return Optional.ofNullable(first);
        } finally {
            lock.unlock();
        }
    }

    void removeBefore(Instant cutoff) {
        lock.lock();
        try {
            while (!byTime.isEmpty() && byTime.first().time().isBefore(cutoff)) {
                byId.remove(byTime.pollFirst().requestId());
            }
        } finally {
            lock.unlock();
        }
    }

    Optional<ReceiptState> get(String requestId) {
        lock.lock();
        try {
            return Optional.ofNullable(byId.get(requestId));
        } finally {
            lock.unlock();
        }
    }

    void copyInto(Collection<ReceiptState> target) {
        lock.lock();
        try {
            target.addAll(byTime);
        } finally {
            lock.unlock();
        }
    }

    void clear() {
        lock.lock();
        try {
            byId.clear();
            byTime.clear();
        } finally {
            lock.unlock();
        }
    }
}
