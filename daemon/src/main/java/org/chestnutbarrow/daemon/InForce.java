package org.chestnutbarrow.daemon;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongFunction;
import org.chestnutbarrow.membership.Confirmation;

/**
 * Waits until a log position is in force on all daemons. Safe for use by several threads. A timer calls {@link #check};
 * waiting threads sleep until it finds their position in force.
 */
final class InForce {
    private final LongFunction<Confirmation> confirmed;
    private final Map<Long, CompletableFuture<Void>> waiting = new ConcurrentHashMap<>();

    /** Creates a waiter; {@code confirmed} tells how far a position has spread. */
    InForce(LongFunction<Confirmation> confirmed) {
        this.confirmed = confirmed;
    }

    /** Completes the waits whose position is in force by now. */
    void check() {
        for (Map.Entry<Long, CompletableFuture<Void>> entry : waiting.entrySet()) {
            if (confirmed.apply(entry.getKey()) instanceof Confirmation.InForce) {
                entry.getValue().complete(null);
            }
        }
    }

    /** Waits at most that long; returns how far the position has spread then. */
    Confirmation await(long position, Duration atMost) throws InterruptedException {
        CompletableFuture<Void> done = waiting.computeIfAbsent(position, _ -> new CompletableFuture<>());
        try {
            check();
            done.get(atMost.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return confirmed.apply(position);
        } catch (ExecutionException e) {
            throw new IllegalStateException("the wait cannot fail", e);
        } finally {
            waiting.remove(position, done);
        }
        return new Confirmation.InForce();
    }
}
