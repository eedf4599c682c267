package org.chestnutbarrow.node;

import java.time.Duration;
import org.chestnutbarrow.model.Checks;

/**
 * Settings of a node.
 *
 * @param name name of this node, unique among the running nodes
 * @param milliCores processing capacity of this node; 0 if unknown
 * @param membershipTtl shortest time after which the store may reassign the partitions of a silent member
 * @param maxLease longest lease that a worker grants
 */
public record NodeSettings(String name, int milliCores, Duration membershipTtl, Duration maxLease) {
    /** More than any machine has, and short enough to be parsed from a member id. */
    private static final int MAX_MILLI_CORES = 100_000_000;

    public NodeSettings {
        Checks.require(name != null && !name.isEmpty(), "the name of a node must not be empty");
        Checks.require(
                milliCores >= 0 && milliCores <= MAX_MILLI_CORES,
                "the capacity of a node must be between 0 and 100000 cores");
        Checks.require(
                membershipTtl.isPositive() && maxLease.isPositive(),
                "the membership timeout and the longest lease must be positive");
    }
}
