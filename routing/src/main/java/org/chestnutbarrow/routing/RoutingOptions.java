package org.chestnutbarrow.routing;

/**
 * Options that are varied for measurements.
 *
 * @param policy how a worker is selected
 * @param limitRetries whether retries are limited to a share of the requests
 */
public record RoutingOptions(LoadBalancingPolicy policy, boolean limitRetries) {
    /** The options used outside of measurements. */
    public static final RoutingOptions DEFAULT =
            new RoutingOptions(new LoadBalancingPolicy.LowestCostOfSample(2), true);
}
