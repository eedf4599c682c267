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
 * Registrations and the lagging view of them. Safe for use by several threads; one lock, as a view is of one moment.
 *
 * <p>Invariant: the view is the registrations as they stood at the view's time, which never goes back.
 */
final class HostTable {
    private final TimeSource time;
    private final Duration expiry;
    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Change> changes = new ArrayDeque<>();
    private final Map<String, Registered> view = new TreeMap<>();
    private Duration lag;
    private boolean frozen;
    private long viewNanos;
    private long viewMs;

    HostTable(TimeSource time, Duration lag, Duration expiry) {
        this.time = time;
        this.lag = lag;
        this.expiry = expiry;
        viewNanos = time.nanos() - lag.toNanos();
        viewMs = time.now().minus(lag).toEpochMilli();
    }

    void put(HostEntry entry) {
        change(entry.id(), Optional.of(entry));
    }

    void remove(String id) {
        change(id, Optional.empty());
    }

    void setLag(Duration value) {
        lock.lock();
        try {
            advance();
            lag = value;
        } finally {
            lock.unlock();
        }
    }

    void freeze(boolean on) {
        lock.lock();
        try {
            advance();
            frozen = on;
        } finally {
            lock.unlock();
        }
    }

    Listing list() {
        lock.lock();
        try {
            advance();
            return new Listing(
                    viewMs, view.values().stream().map(Registered::entry).toList());
        } finally {
            lock.unlock();
        }
    }

    private void change(String id, Optional<HostEntry> entry) {
        lock.lock();
        try {
            changes.add(new Change(time.nanos(), id, entry));
            advance();
        } finally {
            lock.unlock();
        }
    }

    private void advance() {
        long target = time.nanos() - lag.toNanos();
        if (frozen || target - viewNanos < 0) {
            return;
        }
        viewNanos = target;
        viewMs = time.now().minus(lag).toEpochMilli();
        while (!changes.isEmpty() && changes.peek().nanos() - viewNanos <= 0) {
            Change change = changes.remove();
            if (change.entry().isPresent()) {
                view.put(change.id(), new Registered(change.entry().get(), change.nanos()));
            } else {
                view.remove(change.id());
            }
        }
        view.values().removeIf(host -> viewNanos - host.nanos() >= expiry.toNanos());
    }

    private record Change(long nanos, String id, Optional<HostEntry> entry) {}

    private record Registered(HostEntry entry, long nanos) {}

    /** The answer to {@code GET /v1/hosts}. */
    record Listing(long asOf, List<HostEntry> hosts) {}
}
