package org.chestnutbarrow.routing;

import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits retries of requests that may have reached an endpoint to a share of the requests, so that failing endpoints do not
 * multiply the load: a token bucket that is filled by requests. Safe for use by several threads, under its own lock.
 *
 * <p>Invariant: over any period, the number of retries is at most {@link #MAX_SAVED_RETRIES} plus {@link
 * #RETRIES_PER_REQUEST} times the number of requests.
 */
final class RetryBudget {
    /** Number of retries that each request adds to the budget. */
    static final double RETRIES_PER_REQUEST = 0.1;

    /** Maximum number of saved retries, which allows a class with few requests to retry at all. */
    static final double MAX_SAVED_RETRIES = 10;

    private final ReentrantLock lock = new ReentrantLock();
    private double tokens = MAX_SAVED_RETRIES;

    void recordRequest() {
        lock.lock();
        try {
            tokens = Math.min(MAX_SAVED_RETRIES, tokens + RETRIES_PER_REQUEST);
        } finally {
            lock.unlock();
        }
    }

    boolean tryAcquire() {
        lock.lock();
        try {
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        } finally {
            lock.unlock();
        }
    }
}
