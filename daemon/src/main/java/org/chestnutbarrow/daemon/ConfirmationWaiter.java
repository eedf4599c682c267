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
 * Waits until a log position is in force on all daemons. Safe for use by several threads. A timer calls
 * {@link #completeConfirmed}; waiting threads sleep until it finds their position in force.
 */
final class ConfirmationWaiter {
    private final LongFunction<Confirmation> confirmationOf;
    private final Map<Long, CompletableFuture<Void>> waitsByPosition = new ConcurrentHashMap<>();

    /** Creates a waiter; {@code confirmationOf} returns the current confirmation of a position. */
    ConfirmationWaiter(LongFunction<Confirmation> confirmationOf) {
        this.confirmationOf = confirmationOf;
    }

    /** Completes the waits whose position is now in force. */
    void completeConfirmed() {
        for (Map.Entry<Long, CompletableFuture<Void>> entry : waitsByPosition.entrySet()) {
            if (confirmationOf.apply(entry.getKey()) instanceof Confirmation.InForce) {
                entry.getValue().complete(null);
            }
        }
    }

    /** Waits until the position is in force, at most for the timeout; returns its confirmation at that time. */
    Confirmation await(long position, Duration timeout) throws InterruptedException {
        CompletableFuture<Void> inForce = waitsByPosition.computeIfAbsent(position, _ -> new CompletableFuture<>());
        try {
            completeConfirmed();
            inForce.get(timeout.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException e) {
            return confirmationOf.apply(position);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a wait for a position completed exceptionally", e);
        } finally {
            waitsByPosition.remove(position, inForce);
        }
        return new Confirmation.InForce();
    }
}
