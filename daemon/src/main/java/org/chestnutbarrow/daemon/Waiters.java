package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.chestnutbarrow.capacity.Reservation;
import org.chestnutbarrow.routing.CapacityGrant;

/** Wakes the threads of requests that wait for capacity. Safe for use by several threads. */
final class Waiters {
    private final Map<Long, CompletableFuture<Reservation>> byTicket = new ConcurrentHashMap<>();

    /** Hands granted capacity to the requests that wait for it. */
    void wake(List<CapacityGrant> grants) {
        for (CapacityGrant grant : grants) {
            future(grant.ticket()).complete(grant.reservation());
        }
    }

    /** Waits for a grant; empty if none came in time. */
    Optional<Reservation> await(long ticket, Duration atMost) throws InterruptedException {
        try {
            return Optional.of(future(ticket).get(atMost.toNanos(), TimeUnit.NANOSECONDS));
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a wait cannot fail", e);
        } finally {
            byTicket.remove(ticket);
        }
    }

    // A grant may come before its request has begun to wait, so whoever is first creates the future.
    private CompletableFuture<Reservation> future(long ticket) {
        return byTicket.computeIfAbsent(ticket, _ -> new CompletableFuture<>());
    }
}
