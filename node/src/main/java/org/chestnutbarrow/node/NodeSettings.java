package org.chestnutbarrow.node;

import java.time.Duration;
import java.util.Optional;
import org.chestnutbarrow.model.Checks;

/**
 * Settings of a node.
 *
 * @param name name of this node, unique among the running nodes
 * @param capacity capacity of the machine of this node
 * @param relay where this node passes calls of the owner on to workers; empty if it does not
 * @param membershipTtl shortest time after which the store may reassign the partitions of a silent member
 * @param maxLease longest lease that a worker grants
 */
public record NodeSettings(
        String name, NodeCapacity capacity, Optional<RelayEndpoint> relay, Duration membershipTtl, Duration maxLease) {
    public NodeSettings {
        Checks.require(name != null && !name.isEmpty(), "the name of a node must not be empty");
        Checks.require(capacity != null, "the capacity of a node must be given");
        Checks.require(
                membershipTtl.isPositive() && maxLease.isPositive(),
                "the membership timeout and the longest lease must be positive");
    }
}
