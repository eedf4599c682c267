package org.chestnutbarrow.routing;

import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits retries to a share of the requests, so that failing endpoints do not multiply the load. Safe for use by several
 * threads, under its own lock.
 *
 * <p>Invariant: over any period, retries number at most the reserve plus {@link #SHARE} of the requests.
 */
final class RetryBudget {
    /** Retries allowed for each request. */
    static final double SHARE = 0.1;

    /** Retries that may be saved up, so that a class with few requests can retry at all. */
    static final double RESERVE = 10;

    private final ReentrantLock lock = new ReentrantLock();
    private double tokens = RESERVE;

    void request() {
        lock.lock();
        try {
            tokens = Math.min(RESERVE, tokens + SHARE);
        } finally {
            lock.unlock();
        }
    }

    boolean tryRetry() {
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
