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

/** Blocks and wakes the threads of requests that wait for capacity. Safe for use by several threads. */
final class CapacityWaiters {
    private final Map<Long, CompletableFuture<Optional<Reservation>>> byTicket = new ConcurrentHashMap<>();

    /** Wakes the requests that were granted capacity. */
    void wake(List<CapacityGrant> grants) {
        for (CapacityGrant grant : grants) {
            future(grant.ticket()).complete(Optional.of(grant.reservation()));
        }
    }

    /** Wakes the requests whose waits were withdrawn. */
    void withdraw(List<Long> tickets) {
        tickets.forEach(ticket -> future(ticket).complete(Optional.empty()));
    }

    /** Waits for a grant; returns empty if there was none within the timeout or the wait was withdrawn. */
    Optional<Reservation> await(long ticket, Duration timeout) throws InterruptedException {
        try {
            return future(ticket).get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a wait never completes exceptionally", e);
        } finally {
            byTicket.remove(ticket);
        }
    }

    // A grant may arrive before its request waits for it, so either side may create the future.
    private CompletableFuture<Optional<Reservation>> future(long ticket) {
        return byTicket.computeIfAbsent(ticket, _ -> new CompletableFuture<>());
    }
}
