package org.chestnutbarrow.daemon;

import org.chestnutbarrow.routing.LoadBalancingPolicy;
import org.chestnutbarrow.routing.RoutingOptions;

/**
 * System properties that replace parts of the policy by plain baselines. For measurements only; a deployment sets none of
 * them. Stateless.
 *
 * <ul>
 *   <li>{@code chestnutbarrow.choice}: {@code round-robin}, {@code random}, {@code least-connections} or
 *       {@code cheapest-of-N}
 *   <li>{@code chestnutbarrow.retry-budget}: {@code off} allows any number of retries
 *   <li>{@code chestnutbarrow.interference}: {@code off} neither throttles nor evicts
 * </ul>
 */
final class Measurement {
    private static final String OFF = "off";

    private Measurement() {}

    static RoutingOptions routing() {
        String choice = System.getProperty("chestnutbarrow.choice");
        return new RoutingOptions(
                choice == null ? RoutingOptions.DEFAULT.policy() : LoadBalancingPolicy.parse(choice),
                !OFF.equals(System.getProperty("chestnutbarrow.retry-budget")));
    }

    static boolean interferenceActs() {
        return !OFF.equals(System.getProperty("chestnutbarrow.interference"));
    }
}
