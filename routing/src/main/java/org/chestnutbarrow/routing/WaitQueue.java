package org.chestnutbarrow.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;
import org.chestnutbarrow.capacity.Reservation;

/**
 * FIFO queue of the requests of one class that wait for capacity. Safe for use by several threads, under its own lock.
 *
 * <p>Invariants: never longer than {@link #MAX_LENGTH}; a ticket is granted at most once; a grant that its request has
 * not confirmed is returned by {@link #cancel}.
 */
final class WaitQueue {
    static final int MAX_LENGTH = 10_000;

    private final ReentrantLock lock = new ReentrantLock();
    private final Deque<WaitingRequest> waiting = new ArrayDeque<>();
    private final Map<Long, Reservation> unconfirmedGrants = new HashMap<>();

    boolean add(long ticket, RoutingRequest request) {
        lock.lock();
        try {
            if (waiting.size() >= MAX_LENGTH) {
                return false;
            }
            waiting.addLast(new WaitingRequest(ticket, request));
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

    /**
     * Grants the oldest request the capacity that {@code reserve} returns; empty if none waits or none was reserved.
     */
    Optional<CapacityGrant> grantNext(Function<RoutingRequest, Optional<Reservation>> reserve) {
        lock.lock();
        try {
            WaitingRequest oldest = waiting.peekFirst();
            if (oldest == null) {
                return Optional.empty();
            }
            Optional<Reservation> reservation = reserve.apply(oldest.request());
            if (reservation.isEmpty()) {
                return Optional.empty();
            }
            waiting.removeFirst();
            unconfirmedGrants.put(oldest.ticket(), reservation.get());
            return Optional.of(new CapacityGrant(oldest.ticket(), reservation.get()));
        } finally {
            lock.unlock();
        }
    }

    /** Removes all waiting requests and returns their tickets; grants remain. */
    List<Long> removeAll() {
        lock.lock();
        try {
            List<Long> tickets = waiting.stream().map(WaitingRequest::ticket).toList();
            waiting.clear();
            return tickets;
        } finally {
            lock.unlock();
        }
    }

    /** Confirms that the request has received its grant. */
    void confirm(long ticket) {
        lock.lock();
        try {
            unconfirmedGrants.remove(ticket);
        } finally {
            lock.unlock();
        }
    }

    /** Removes a request; returns the reservation of a grant that the request has not confirmed. */
    Optional<Reservation> cancel(long ticket) {
        lock.lock();
        try {
            waiting.removeIf(entry -> entry.ticket() == ticket);
            return Optional.ofNullable(unconfirmedGrants.remove(ticket));
        } finally {
            lock.unlock();
        }
    }

    /** A waiting request and its ticket. */
    private record WaitingRequest(long ticket, RoutingRequest request) {}
}
