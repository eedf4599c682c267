package org.chestnutbarrow.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chestnutbarrow.capacity.Reservation;

/**
 * Requests of one class that wait for room, oldest first. Safe for use by several threads, under its own lock.
 *
 * <p>Invariants: never longer than {@link #MAX_LENGTH}; a ticket is granted at most once; a grant that its request did
 * not pick up is returned by {@link #abandon}.
 */
final class WaitQueue {
    static final int MAX_LENGTH = 10_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<Waiter> waiting = new ArrayDeque<>();
    private final Map<Long, Reservation> granted = new HashMap<>();

    boolean add(long ticket, RouteRequest request) {
        lock.lock();
        try {
            if (waiting.size() >= MAX_LENGTH) {
                return false;
            }
            waiting.addLast(new Waiter(ticket, request));
            return true;
        } finally {
            lock.unlock();
        }
    }

    int length() {
        lock.lock();
        try {
            return waiting.size();
        } finally {
            lock.unlock();
        }
    }

    /** Grants the oldest waiter what {@code choose} finds for it; empty if nobody waits or nothing was found. */
    Optional<Grant> grant(Function<RouteRequest, Optional<Reservation>> choose) {
        lock.lock();
        try {
            Waiter oldest = waiting.peekFirst();
            if (oldest == null) {
                return Optional.empty();
            }
            Optional<Reservation> hold = choose.apply(oldest.request());
            if (hold.isEmpty()) {
                return Optional.empty();
            }
            waiting.removeFirst();
            granted.put(oldest.ticket(), hold.get());
            return Optional.of(new Grant(oldest.ticket(), hold.get()));
        } finally {
            lock.unlock();
        }
    }

    /** Tells that the request has taken its grant. */
    void taken(long ticket) {
        lock.lock();
        try {
            granted.remove(ticket);
        } finally {
            lock.unlock();
        }
    }

    /** Removes a request that waits no longer; returns its hold if it had been granted one. */
    Optional<Reservation> abandon(long ticket) {
        lock.lock();
        try {
            waiting.removeIf(waiter -> waiter.ticket() == ticket);
            return Optional.ofNullable(granted.remove(ticket));
        } finally {
            lock.unlock();
        }
    }

    /** A request with its ticket. */
    private record Waiter(long ticket, RouteRequest request) {}
}
