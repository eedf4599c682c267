package org.chestnutbarrow.bench;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Open-loop load on one interactive class.
 *
 * @param workClass class of the requests
 * @param perSecond mean rate; arrivals are a Poisson process
 * @param duration how long requests are sent
 * @param nonIdempotent share of requests that are marked as non-idempotent, from 0 to 1
 * @param deadline deadline that is sent with each request
 * @param seed seed of arrivals and kinds
 */
public record LoadSpec(
        String workClass, double perSecond, Duration duration, double nonIdempotent, Duration deadline, long seed) {
    public LoadSpec {
        Checks.identifier("class name", workClass);
        Checks.require(perSecond > 0 && duration.isPositive(), "rate and duration must be positive");
        Checks.require(nonIdempotent >= 0 && nonIdempotent <= 1, "share must be from 0 to 1");
        Checks.require(deadline.isPositive(), "deadline must be positive");
    }
}
