package org.chestnutbarrow.routing;

/**
 * What measurements vary.
 *
 * @param choice how a worker is chosen
 * @param retryBudget whether retries are limited to a share of the requests
 */
public record RoutingOptions(Choice choice, boolean retryBudget) {
    /** What daemons use outside measurements. */
    public static final RoutingOptions DEFAULT = new RoutingOptions(new Choice.CheapestOfSampled(2), true);
}
