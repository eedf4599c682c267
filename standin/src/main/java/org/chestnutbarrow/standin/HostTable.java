package org.chestnutbarrow.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.locks.ReentrantLock;
import org.chestnutbarrow.model.TimeSource;

/**
 * Host registrations and a delayed view of them. Thread-safe; a single lock keeps each view consistent.
 *
 * <p>Invariant: the view reflects the registrations at the view time, which never decreases.
 */
final class HostTable {
    private final TimeSource time;
    private final Duration registrationTtl;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<String, Registration> view = new TreeMap<>();
    private Duration lag;
    private boolean frozen;
    private long viewTimeNanos;
    private long viewTimeMs;

    HostTable(TimeSource time, Duration lag, Duration registrationTtl) {
        this.time = time;
        this.lag = lag;
        this.registrationTtl = registrationTtl;
        viewTimeNanos = time.nanos() - lag.toNanos();
        viewTimeMs = time.now().minus(lag).toEpochMilli();
    }

    void put(HostEntry entry) {
        recordChange(entry.id(), Optional.of(entry));
    }

    void remove(String id) {
        recordChange(id, Optional.empty());
    }

    void setLag(Duration value) {
        lock.lock();
        try {
            advanceView();
            lag = value;
        } finally {
            lock.unlock();
        }
    }

    void setFrozen(boolean on) {
        lock.lock();
        try {
            advanceView();
            frozen = on;
        } finally {
            lock.unlock();
        }
    }

    Listing list() {
        lock.lock();
        try {
            advanceView();
            return new Listing(
                    viewTimeMs, view.values().stream().map(Registration::entry).toList());
        } finally {
            lock.unlock();
        }
    }

    private void recordChange(String id, Optional<HostEntry> entry) {
        lock.lock();
        try {
            changes.add(new Change(time.nanos(), id, entry));
            advanceView();
        } finally {
            lock.unlock();
        }
    }

    private void advanceView() {
        long target = time.nanos() - lag.toNanos();
        if (frozen || target - viewTimeNanos < 0) {
            return;
        }
        viewTimeNanos = target;
        viewTimeMs = time.now().minus(lag).toEpochMilli();
        while (!changes.isEmpty() && changes.peek().nanos() - viewTimeNanos <= 0) {
            Change change = changes.remove();
            if (change.entry().isPresent()) {
                view.put(change.id(), new Registration(change.entry().get(), change.nanos()));
            } else {
                view.remove(change.id());
            }
        }
        view.values().removeIf(host -> viewTimeNanos - host.nanos() >= registrationTtl.toNanos());
    }

    private record Change(long nanos, String id, Optional<HostEntry> entry) {}

    private record Registration(HostEntry entry, long nanos) {}

    /** Response body of {@code GET /v1/hosts}. */
    record Listing(long asOf, List<HostEntry> hosts) {}
}
