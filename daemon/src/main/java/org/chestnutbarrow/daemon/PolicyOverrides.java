package org.chestnutbarrow.daemon;

import org.chestnutbarrow.routing.LoadBalancingPolicy;
import org.chestnutbarrow.routing.RoutingOptions;

/**
 * System properties that replace parts of the scheduling policy with baselines, for benchmarks. Deployments set none of
 * them. Stateless.
 *
 * <ul>
 *   <li>{@code chestnutbarrow.choice}: {@code round-robin}, {@code random}, {@code least-connections} or
 *       {@code cheapest-of-N}
 *   <li>{@code chestnutbarrow.retry-budget}: {@code off} removes the limit on the rate of retries
 *   <li>{@code chestnutbarrow.interference}: {@code off} disables throttling and eviction
 * </ul>
 */
final class PolicyOverrides {
    private static final String OFF = "off";

    private PolicyOverrides() {}

    static RoutingOptions routingOptions() {
        String policy = System.getProperty("chestnutbarrow.choice");
        return new RoutingOptions(
                policy == null ? RoutingOptions.DEFAULT.policy() : LoadBalancingPolicy.parse(policy),
                !OFF.equals(System.getProperty("chestnutbarrow.retry-budget")));
    }

    static boolean mitigationEnabled() {
        return !OFF.equals(System.getProperty("chestnutbarrow.interference"));
    }
}
